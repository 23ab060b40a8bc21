"""Relays among faults: a model in virtual time of what decides between them. It serves no relay that runs."""
