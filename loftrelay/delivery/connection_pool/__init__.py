"""Connections to hosts as a pure state machine: events and the time go in, actions come out."""
