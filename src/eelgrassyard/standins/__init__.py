"""Small stand-ins for the platform and upstreams, for tests, demo and measurements."""
