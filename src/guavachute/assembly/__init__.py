"""Assembles services into the processes that the programs run."""
