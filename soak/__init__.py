"""A randomized soak test of the entry processes under external faults."""
