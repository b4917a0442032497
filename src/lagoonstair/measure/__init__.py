"""Measurements of the policies, each against its baseline."""
