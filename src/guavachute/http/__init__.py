"""HTTP service on cheroot, shared by routers and stand-ins."""
