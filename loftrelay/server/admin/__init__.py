"""Admin endpoint for operators: one command per TCP connection, answered with YES, NO or statistics."""
