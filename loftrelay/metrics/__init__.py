"""Counters and gauges of one process, and their output as metric lines for operators."""
