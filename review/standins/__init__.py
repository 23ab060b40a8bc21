"""Stand-ins of the platform, hosts and clients for the cases of the review."""
