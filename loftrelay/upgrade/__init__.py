"""One process takes over from another that serves beside it: who owns the state, and how it goes over."""
