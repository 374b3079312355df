"""Types of the entry process, independent of the platform's formats."""
