"""Peers on loopback among which one relay shows what it does, without a platform (`loftrelay demo`)."""
