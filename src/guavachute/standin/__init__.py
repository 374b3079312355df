"""Stand-ins for the platform and the endpoints, with injectable faults."""
