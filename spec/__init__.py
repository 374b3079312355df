"""Models of the protocols, which a model checker verifies exhaustively."""
