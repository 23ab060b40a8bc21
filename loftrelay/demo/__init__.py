"""The demo: one relay with a store of record at work among stand-in peers on loopback, without a platform."""
