"""The proxy program that routes statements to the database groups."""
