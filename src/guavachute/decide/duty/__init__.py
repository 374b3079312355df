"""Decisions of the node that holds the duties towards the cloud."""
