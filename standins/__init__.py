"""Stand-ins for the systems around the router, for tests, the bench and the demo."""
