"""What relays of one fleet know of each other. What decides does no input or output."""
