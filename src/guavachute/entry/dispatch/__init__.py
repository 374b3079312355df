"""What decides whether and where a request is sent."""
