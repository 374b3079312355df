"""The fleet duty: buys, places and ends endpoint VMs under a lease."""
