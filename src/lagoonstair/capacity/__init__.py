"""Measures the cost of components and computes the load of a large fleet."""
