"""The control log: its fold, its readers and their sources."""
