"""The command line: `main` chooses the command, each of which has a module of its own."""
