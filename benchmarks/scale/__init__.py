"""Scale benchmark: a fleet of hollow and real relays with registries, at growing sizes and with faults."""
