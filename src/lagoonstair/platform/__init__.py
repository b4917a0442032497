"""Adapters to the users' platform: its names, formats and calls.

The modules here translate and make no decisions of their own.
"""
