"""A randomized soak of the entry processes, with faults from outside."""
