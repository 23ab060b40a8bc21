"""Configuration: the platform's JSON file and environment variables, and the operators' TOML files."""
