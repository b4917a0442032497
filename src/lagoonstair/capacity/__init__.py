"""Measures what the parts cost, and works out what a large fleet needs."""
