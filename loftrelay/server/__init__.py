"""Servers of a relay: `http` for clients, `admin` for operators."""
