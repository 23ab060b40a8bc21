"""Scheduling decisions of a relay: when to send, delay, retry, reject or fail a message. Does no I/O."""

from loftrelay.decisions.scheduler import Scheduler

__all__ = ["Scheduler"]
