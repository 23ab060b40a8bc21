"""Counters of one process, and the lines in which operators read them."""
