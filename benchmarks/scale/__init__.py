"""A fleet of hollow and real relays with its registries, in steps of size, through faults."""
