"""Decisions about one request: quota, endpoint, retries."""
