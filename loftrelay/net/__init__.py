"""Addresses and the HTTP/1.1 client connection, shared by all outgoing calls."""
