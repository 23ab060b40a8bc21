"""Faulty hosts for tests and the benchmark of connections: one host for each kind of fault."""

from __future__ import annotations

import random
from collections.abc import Callable

from tests.standins.fake_host import Behaviour, Call, ResponsePlan


def duplicate_responses(delays_s: tuple[float, ...], seed: int) -> Callable[[Call], ResponsePlan]:
    """Sends a fifth of the responses twice, after one of these delays, and rejects every fifth call."""
    rng = random.Random(seed)

    def plan_response(call: Call) -> ResponsePlan:
        duplicate_delays_s = (rng.choice(delays_s),) if rng.random() < 0.2 else ()
        status = 503 if call.request_index % 5 == 4 else 200
        return ResponsePlan(
            status,
            delay_s=0.004,
            duplicate_delays_s=duplicate_delays_s,
            duplicate_segments=rng.choice((1, 2)),
        )

    return plan_response


def with_probability(probability: float, plan: ResponsePlan, seed: int) -> Callable[[Call], ResponsePlan]:
    """Applies `plan` with this probability, otherwise a normal response."""
    rng = random.Random(seed)

    def plan_response(call: Call) -> ResponsePlan:
        return plan if rng.random() < probability else ResponsePlan(delay_s=0.004)

    return plan_response


def faulty_behaviours() -> list[Behaviour]:
    """Returns one behaviour for each host; seeds are fixed, idle limits short enough for runs of seconds."""
    return [
        Behaviour(lambda call: ResponsePlan(delay_s=0.004)),
        Behaviour(lambda call: ResponsePlan(delay_s=0.004), silent_after_s=(0.15, 1.0)),
        Behaviour(lambda call: ResponsePlan(delay_s=0.004), reset_after_s=(0.05, 0.8)),
        Behaviour(with_probability(0.3, ResponsePlan(delay_s=0.004, half_closes=True), 1)),
        Behaviour(with_probability(0.03, ResponsePlan(status=0, executes=False), 2)),
        Behaviour(lambda call: ResponsePlan(delay_s=0.02), max_connections=2),
        Behaviour(lambda call: ResponsePlan(delay_s=0.004), first_byte_reset_probability=0.05),
        Behaviour(with_probability(0.1, ResponsePlan(resets=True, executes=True), 3)),
        Behaviour(duplicate_responses((0.005, 0.015, 0.05, 0.2, 1.0), 4)),
        Behaviour(with_probability(0.2, ResponsePlan(429, retry_after_ms=60), 5)),
    ]
