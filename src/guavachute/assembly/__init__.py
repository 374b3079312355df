"""Puts services together into the processes that the programs run."""
