"""The door for operators: one line to a connection, answered with YES, NO or the figures."""
