"""Fault injection between relays: a fleet simulated in virtual time, and a UDP proxy for real processes."""
