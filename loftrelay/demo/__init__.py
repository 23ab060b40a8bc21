"""The demo: one relay with a store of record among simulated peers on loopback, without a platform."""
