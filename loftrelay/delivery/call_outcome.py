"""What an answer of a host means: the outcome of each message of a call."""

from __future__ import annotations

import json
import logging
import re
from collections.abc import Sequence

from loftrelay.decisions.events import AttemptStatus
from loftrelay.net.response_parser import Headers, HttpResponse
from loftrelay.relay.ports import AttemptResult

log = logging.getLogger(__name__)

WAIT = re.compile(rb"0*(\d+)(\.?\d*)")  # milliseconds; a part of one counts whole
MOST_WAIT = 999_999_999

STATUSES = {
    200: AttemptStatus.OK,
    500: AttemptStatus.ERROR,
    429: AttemptStatus.REJECTED,
    503: AttemptStatus.REJECTED,
    504: AttemptStatus.NOT_SENT,
    410: AttemptStatus.NOT_SENT,
    400: AttemptStatus.REJECTED,
    413: AttemptStatus.REJECTED,
}
STATES = {
    "delivered": AttemptStatus.OK,
    "failed": AttemptStatus.ERROR,
    "refused": AttemptStatus.REJECTED,
    "over": AttemptStatus.NOT_SENT,
    "spent": AttemptStatus.NOT_SENT,
}


def told_wait(headers: Headers) -> int:
    """In microseconds; 0 where none is told, or nothing that is a number. Of several the longest binds, and
    one too long to be meant counts as eleven days.
    """
    longest = 0
    for name, value in headers:
        if name == b"x-come-back-ms" and (told := WAIT.fullmatch(value)) is not None:
            whole, part = told.groups()
            longest = max(longest, MOST_WAIT if len(whole) > 9 else int(whole) + bool(part.strip(b".0")))
    return longest * 1000


def read_single(answer: HttpResponse) -> AttemptResult:
    """A status that the protocol does not know may mean anything: it may have run.

    410 does not end what the relay owes: a host's clock runs some milliseconds before the relay's, which
    counts from a message's arrival. Trouble: a bundle of 19 whose time ran out there was forgotten.
    """
    result = STATUSES.get(answer.status, AttemptStatus.ERROR)
    if answer.status == 503 and answer.headers.get(b"x-line-busy") == b"1":
        result = AttemptStatus.NOT_SENT
    wait = told_wait(answer.headers.items())
    return AttemptResult(
        result, is_final=answer.status == 200, retry_after=wait, is_expired=answer.status == 410
    )


def tells_of_others(answer: HttpResponse, ids: Sequence[str]) -> bool:
    """Whether a batch answer names messages that were not asked about: then it answers another call."""
    try:
        return answer.status == 200 and any(row["id"] not in ids for row in json.loads(answer.body))
    except (ValueError, TypeError, KeyError, RecursionError):
        return False


def read_batch(answer: HttpResponse, ids: Sequence[str]) -> dict[str, AttemptResult]:
    """One ending for each message. In one that is not sound in all its rows none is believed."""
    if answer.status != 200:
        return dict.fromkeys(ids, read_single(answer))
    try:
        rows = [(entry["id"], entry["state"]) for entry in json.loads(answer.body)]
        if sorted(name for name, _ in rows) != sorted(ids):
            raise ValueError("it tells of other messages than were asked for")
        wait = told_wait(answer.headers.items())
        states = {
            name: AttemptResult(
                STATES[s], is_final=s == "delivered", retry_after=wait, is_expired=s == "over"
            )
            for name, s in rows
        }
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        log.warning("a batch answer can't be read: %r", error)
        return dict.fromkeys(ids, AttemptResult(AttemptStatus.MALFORMED_RESPONSE))
    return states
