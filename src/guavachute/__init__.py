"""Serves language models on reclaimable VMs, shared fairly.

The public face is small: the version and the check of an operators'
document. Everything else is reached through the programs.
"""

__version__ = '0.1.0'
