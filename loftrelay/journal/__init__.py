"""Durable state of a relay: every message that is not completed, and what has happened to it."""
