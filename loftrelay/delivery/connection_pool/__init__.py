"""Connection pool as a pure state machine: takes events with the time, returns actions."""
