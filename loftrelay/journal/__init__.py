"""The journal: the durable state of a relay, with every open message and its history."""
