"""The endpoint port over HTTP/1.1 with JSON."""
