"""Measurements of the whole system, each compared with a baseline."""
