"""Carries out the roll-outs that the operator requests."""
