"""mulleinlead: when to send, wait, retry, refuse or give up a message to an outside destination."""

from mulleinlead.brain import Brain

__all__ = ["Brain"]
