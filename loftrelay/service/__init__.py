"""One relay as a process: assembles its parts and runs them from startup to shutdown."""
