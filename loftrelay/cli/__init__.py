"""What the command line does beside running a relay, one module for each command."""
