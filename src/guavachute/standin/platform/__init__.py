"""Stand-ins of the users' platform, by its published protocol.

They run on the loop of the test that uses them, next to the process
under test, so that a test needs neither threads nor waiting times.
"""
