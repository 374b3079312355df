"""Services around the decisions; they own sockets and threads."""
