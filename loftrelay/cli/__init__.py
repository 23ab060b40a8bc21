"""The command line: `main` selects the command; each command has its own module."""
