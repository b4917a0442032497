"""Measurements of the whole system, each against its baseline."""
