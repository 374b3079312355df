"""The fleet duty: the lease holder buys, assigns and ends endpoint VMs."""
