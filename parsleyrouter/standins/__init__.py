"""Stand-ins for the platform and the endpoints, for development and tests."""
