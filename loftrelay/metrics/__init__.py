"""What the relay counts and shows: facts are counted once, where known; gauges are asked of their owners."""
