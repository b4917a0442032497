"""Small programs that take the place of databases and platform in tests."""
