"""What a message is, and the engine that owns the decision module: it knows no socket and no file."""
