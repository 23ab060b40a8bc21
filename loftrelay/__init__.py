"""loftrelay: a relay that admits messages over HTTP and brings each to a final status."""
