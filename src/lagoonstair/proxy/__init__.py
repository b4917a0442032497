"""The program that runs in front of the database groups."""
