"""What a response of a host means: the result of each message of a call."""

from __future__ import annotations

import json
import logging
import re
from collections.abc import Sequence
from dataclasses import replace

from loftrelay.decisions.events import AttemptStatus
from loftrelay.net.response_parser import Headers, HttpResponse
from loftrelay.relay.ports import AttemptResult

log = logging.getLogger(__name__)

RETRY_AFTER_HEADER = b"x-come-back-ms"  # as Retry-After (RFC 9110 10.2.3), in milliseconds
RETRY_AFTER_VALUE = re.compile(rb"0*(\d+)(\.?\d*)")  # a part of a millisecond counts whole
MAX_RETRY_AFTER_DIGITS = 9
MAX_RETRY_AFTER_MS = 999_999_999
BUSY_HEADER = b"x-line-busy"  # "1" in a 503: the connection is in use, the message was not read

NOT_SENT = AttemptResult(AttemptStatus.NOT_SENT)
ERROR = AttemptResult(AttemptStatus.ERROR)
REJECTED = AttemptResult(AttemptStatus.REJECTED)
DELIVERED = AttemptResult(AttemptStatus.OK, is_final=True)
# The host's clock may be ahead of the relay's, so that an expired message is not final here.
EXPIRED = AttemptResult(AttemptStatus.NOT_SENT, is_expired=True)

STATUS_RESULTS = {
    200: DELIVERED,
    500: ERROR,
    429: REJECTED,
    503: REJECTED,
    504: NOT_SENT,
    410: EXPIRED,
    400: REJECTED,
    413: REJECTED,
}  # a status that is not listed may mean anything, and counts as ERROR: the message may have run
ROW_RESULTS = {
    "delivered": DELIVERED,
    "failed": ERROR,
    "refused": REJECTED,
    "over": EXPIRED,
    "spent": NOT_SENT,
}  # `state` of a message in the response to a batch


def parse_retry_after(headers: Headers) -> int:
    """The Retry-After of a response in microseconds; 0: none, or no number.

    Of several the longest applies. A value of more than nine digits counts as eleven days.
    """
    longest = 0
    for name, value in headers:
        if name != RETRY_AFTER_HEADER or (match := RETRY_AFTER_VALUE.fullmatch(value)) is None:
            continue
        whole, part = match.groups()
        is_too_long = len(whole) > MAX_RETRY_AFTER_DIGITS
        delay = MAX_RETRY_AFTER_MS if is_too_long else int(whole) + bool(part.strip(b".0"))
        longest = max(longest, delay)
    return longest * 1000


def parse_response(response: HttpResponse) -> AttemptResult:
    """The result by the status of a response alone."""
    result = STATUS_RESULTS.get(response.status, ERROR)
    if response.status == 503 and response.headers.get(BUSY_HEADER) == b"1":
        result = NOT_SENT
    return replace(result, retry_after=parse_retry_after(response.headers.items()))


def names_other_messages(response: HttpResponse, ids: Sequence[str]) -> bool:
    """Whether a batch response names messages that were not sent: it then answers another call."""
    try:
        return response.status == 200 and any(row["id"] not in ids for row in json.loads(response.body))
    except (ValueError, TypeError, KeyError, RecursionError):
        return False


def parse_batch_response(response: HttpResponse, ids: Sequence[str]) -> dict[str, AttemptResult]:
    """The result of each message. If a row is malformed, all are MALFORMED_RESPONSE."""
    if response.status != 200:
        return dict.fromkeys(ids, parse_response(response))
    try:
        return _parse_rows(response, ids)
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        log.warning("Batch response cannot be read: %r", error)
        return dict.fromkeys(ids, AttemptResult(AttemptStatus.MALFORMED_RESPONSE))


def _parse_rows(response: HttpResponse, ids: Sequence[str]) -> dict[str, AttemptResult]:
    rows = [(row["id"], row["state"]) for row in json.loads(response.body)]
    if sorted(name for name, _ in rows) != sorted(ids):
        raise ValueError("the messages are not those of the call")
    retry_after = parse_retry_after(response.headers.items())
    return {name: replace(ROW_RESULTS[state], retry_after=retry_after) for name, state in rows}
