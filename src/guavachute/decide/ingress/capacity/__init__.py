"""How much load each endpoint handles well, learned from its answers."""
