"""The programs: one module for each console script."""
