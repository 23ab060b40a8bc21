"""Benchmarks of the relay on this machine: python -m benchmarks.NAME [--quick]; the last line is JSON."""
