"""The store of record: what the relay took, what became of it and what it answered, for the back office."""
