"""Keeps the learned capacity of endpoints, and exchanges it with nodes."""
