"""Decisions of a router about one request.

Admission, queueing, routing, retries, and the health of endpoints. These
modules do no input or output and are given the time as an argument.
"""
