"""Kept benchmarks: the cost of a call over each transport."""
