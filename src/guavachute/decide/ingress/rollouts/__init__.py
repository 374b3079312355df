"""Decides about roll-outs that the operator requests."""
