"""Stand-ins: simulated databases and platforms for tests and demos.

The service imports the platform's client, ``HttpPlatform``, from here too.
"""
