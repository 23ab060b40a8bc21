"""The ways in which messages are handed in, one package for each protocol."""
