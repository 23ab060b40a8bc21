"""Memory of the process: what peers can make it use is counted against what its limit leaves."""
