"""Operators' files: TOML in which every key is checked before anything is used."""
