"""Calls to hosts: the connection pool, the sockets, and the result of each message."""
