"""Small stand-ins for upstreams and the platform, for tests, the demo and measures."""
