"""Remembers the results that were read from a response, which a later one may dispute."""

from __future__ import annotations

from dataclasses import replace

from loftrelay.delivery.host_call import HostCall
from loftrelay.delivery.pool_driver import PoolDriver
from loftrelay.delivery.recent_responses import RecentResponse
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.ports import AttemptResult


def remember_response(
    driver: PoolDriver, call: HostCall, results: dict[str, AttemptResult], *, is_identified: bool
) -> dict[str, AttemptResult]:
    """Records results that may be disputed later; returns them with that mark.

    The first response on a connection can't be a duplicate. A valid response to a batch lists its messages,
    which proves that the responses before it belong to their calls.
    """
    opened = driver.connections[call.connection_number]
    opened.is_in_call = False
    written_at = int(opened.connection.request_written_at * 1e6)
    driver.settlement.response_received(opened, written_at)
    if driver.pool.is_first_use(call.connection_number):
        return results
    if is_identified:
        opened.recent_responses.clear()
        return results
    now, now_us = wall_clock(), driver.now_us()
    response_time = int(opened.connection.first_byte_at * 1e6) - written_at
    pooled = driver.pool.table.connections[call.connection_number]
    is_suspicious = driver.pool.trust.is_suspicious(pooled, response_time, now_us)
    for message in call.messages:
        response = RecentResponse(
            message,
            results[message.id].status,
            sent_at=now - (now_us - written_at),
            written_at=written_at,
            is_suspicious=is_suspicious,
        )
        opened.recent_responses.add(response, now)
    return {message_id: replace(result, is_disputable=True) for message_id, result in results.items()}
