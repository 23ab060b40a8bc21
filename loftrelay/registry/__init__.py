"""The control role: holds discovery's whole list and tells each relay its slice of it."""
