"""Which nodes and routers there are, and how they learn of it."""
