"""Small stand-ins for what the users run, for tests and the demo."""
