"""Which VMs to have, what runs on them, and how they are replaced."""
