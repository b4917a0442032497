"""Small stand-ins for what the users bring: databases and the platform."""
