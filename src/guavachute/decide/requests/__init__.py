"""One request at a router: whether, where, when and how often."""
