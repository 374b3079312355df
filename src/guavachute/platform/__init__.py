"""The adapter to the platform's message formats.

Each module decodes one kind of message into the types of
:mod:`guavachute.domain`, or encodes one from them. The platform's field
and header names occur only in this package and in the stand-ins.
"""
