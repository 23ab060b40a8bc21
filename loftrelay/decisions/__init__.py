"""Decides when to send, wait, retry, refuse or give up a message to an outside destination."""

from loftrelay.decisions.scheduler import Scheduler

__all__ = ["Scheduler"]
