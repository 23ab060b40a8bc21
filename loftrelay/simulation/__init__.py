"""Fault injection between relays: a simulated fleet in virtual time, and a UDP proxy for real processes."""
