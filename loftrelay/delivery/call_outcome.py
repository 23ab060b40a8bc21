"""Maps the response of a host to the result of each message of a call."""

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
RETRY_AFTER_VALUE = re.compile(rb"0*(\d+)(\.?\d*)")  # fractions of a millisecond are rounded up
MAX_RETRY_AFTER_DIGITS = 9
MAX_RETRY_AFTER_MS = 999_999_999
BUSY_HEADER = b"x-line-busy"  # "1" in a 503: the connection is busy and the message was not read

NOT_SENT = AttemptResult(AttemptStatus.NOT_SENT)
ERROR = AttemptResult(AttemptStatus.ERROR)
REJECTED = AttemptResult(AttemptStatus.REJECTED)
DELIVERED = AttemptResult(AttemptStatus.OK, is_final=True)
# Not final: the clock of the host may be ahead of the relay's, so the relay still decides the expiry.
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
}  # any other status counts as ERROR, because the message may have run
ROW_RESULTS = {
    "delivered": DELIVERED,
    "failed": ERROR,
    "refused": REJECTED,
    "over": EXPIRED,
    "spent": NOT_SENT,
}  # `state` of a message in the response to a batch


def parse_retry_after(headers: Headers) -> int:
    """Returns the Retry-After of a response in microseconds; 0 if it is missing or not a number.

    The longest applies if there are several. A value of more than nine digits is capped at
    MAX_RETRY_AFTER_MS, about eleven days.
    """
    longest_ms = 0
    for name, value in headers:
        if name != RETRY_AFTER_HEADER or (match := RETRY_AFTER_VALUE.fullmatch(value)) is None:
            continue
        integer, fraction = match.groups()
        is_too_long = len(integer) > MAX_RETRY_AFTER_DIGITS
        delay_ms = MAX_RETRY_AFTER_MS if is_too_long else int(integer) + bool(fraction.strip(b".0"))
        longest_ms = max(longest_ms, delay_ms)
    return longest_ms * 1000


def parse_response(response: HttpResponse) -> AttemptResult:
    """Returns the result that the status code and the busy header of a response stand for."""
    result = STATUS_RESULTS.get(response.status, ERROR)
    if response.status == 503 and response.headers.get(BUSY_HEADER) == b"1":
        result = NOT_SENT
    return replace(result, retry_after=parse_retry_after(response.headers.items()))


def has_foreign_messages(response: HttpResponse, ids: Sequence[str]) -> bool:
    """Tells whether a batch response lists messages that were not sent: it then belongs to another call."""
    try:
        return response.status == 200 and any(row["id"] not in ids for row in json.loads(response.body))
    except (ValueError, TypeError, KeyError, RecursionError):
        return False


def parse_batch_response(response: HttpResponse, ids: Sequence[str]) -> dict[str, AttemptResult]:
    """Returns the result of each message by its id; all are MALFORMED_RESPONSE if any row is malformed."""
    if response.status != 200:
        return dict.fromkeys(ids, parse_response(response))
    try:
        return _parse_rows(response, ids)
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        log.warning("batch response for %d messages is malformed, all may have run: %r", len(ids), error)
        return dict.fromkeys(ids, AttemptResult(AttemptStatus.MALFORMED_RESPONSE))


def _parse_rows(response: HttpResponse, ids: Sequence[str]) -> dict[str, AttemptResult]:
    rows = [(row["id"], row["state"]) for row in json.loads(response.body)]
    if sorted(message_id for message_id, _ in rows) != sorted(ids):
        raise ValueError(f"the {len(rows)} ids of the response differ from the {len(ids)} ids of the call")
    retry_after = parse_retry_after(response.headers.items())
    return {message_id: replace(ROW_RESULTS[state], retry_after=retry_after) for message_id, state in rows}
