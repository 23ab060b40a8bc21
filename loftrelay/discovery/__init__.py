"""The platform's side: the list of hosts, the watch on it, and notices of how messages ended."""
