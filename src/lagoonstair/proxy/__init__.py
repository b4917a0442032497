"""The proxy program that routes statements to the database groups.

Callers reach it over the line protocol of ``lagoonstair.platform.lines``. The
program for callers that use HTTP and JSON is ``lagoonstair.service``.
"""
