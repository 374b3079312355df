"""Clients of the platform: log service, VM list, cloud API."""
