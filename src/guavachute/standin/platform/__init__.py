"""Stand-ins for the users' platform that follow its published protocol.

They run on the event loop of the test, like the code under test, so that
a test needs neither threads nor sleeps.
"""
