"""Cluster membership and operator overrides, exchanged between the relays of one fleet by gossip over UDP."""
