"""Requests that run once: their keys and claims."""
