"""The specification: small models for the model checker."""
