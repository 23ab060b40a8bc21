"""The engine of a relay: messages, their states, and the scheduler's batches. Uses no socket and no file."""
