"""Serves language models on reclaimable VMs, shared fairly.

The public interface is the command line; as a package, only the version
and the check of an operators' document are public.
"""

__version__ = '0.1.0'
