"""The adapter to the users' platform: its names, and nothing else.

Each module decodes one kind of message into the types of
:mod:`guavachute.domain`, or encodes one from them. Nothing outside this
folder, the stand-ins apart, spells a name of the platform.
"""
