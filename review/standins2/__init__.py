"""Stand-ins of the second review: hosts, discovery, clients, and the project's programs as processes."""
