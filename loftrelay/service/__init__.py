"""Process of one relay: assembles its parts and runs them from startup to shutdown."""
