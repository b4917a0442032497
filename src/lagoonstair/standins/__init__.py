"""Stand-ins: simulated databases and platforms for tests and demos."""
