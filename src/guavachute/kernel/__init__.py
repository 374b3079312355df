"""The micro-kernel: named services, tasks and their mailboxes."""
