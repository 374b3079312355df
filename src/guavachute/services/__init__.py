"""Tasks that own sockets and threads and run :mod:`guavachute.decide`."""
