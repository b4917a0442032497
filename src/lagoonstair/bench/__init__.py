"""Benchmarks of the transports and of the connection pool."""
