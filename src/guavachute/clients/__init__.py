"""Clients of the log service, VM list, cloud API, engines and nodes."""
