"""Tasks with mailboxes, and the kernel that runs them by name."""
