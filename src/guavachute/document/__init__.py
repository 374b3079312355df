"""The operators' document: its schema and its validation."""
