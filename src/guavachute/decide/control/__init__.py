"""The control log: its fold, its readers and the sources they read from."""
