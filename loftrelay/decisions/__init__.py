"""All decisions on messages: when to send, wait, retry, reject or fail them. Without input or output."""

from loftrelay.decisions.scheduler import Scheduler

__all__ = ["Scheduler"]
