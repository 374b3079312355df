"""Decides which requests begin when quota or capacity is short."""
