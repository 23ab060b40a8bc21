"""Configuration: the platform's JSON and environment, and the operators' TOML files, checked before use."""
