"""Encoding of gossip datagrams: round trip, invalid bytes, versions, and recorded bytes."""

from __future__ import annotations

import contextlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loftrelay.gossip.codec import MAX_DATAGRAM_BYTES, DatagramError, DatagramVersionError, decode, encode
from loftrelay.gossip.messages import Ack, Datagram, MemberState, Peer, Ping, PingRequest
from loftrelay.gossip.operator_overrides import OperatorOverride

texts = st.text(max_size=40)
numbers = st.integers(0, (1 << 63) - 1)
peers = st.builds(
    Peer, texts, st.tuples(texts, st.integers(1, 65535)), numbers, numbers, st.sampled_from(list(MemberState))
)
updates = st.lists(peers, max_size=24).map(tuple)
datagrams = st.one_of(
    st.builds(Ping, numbers, texts, peers, updates),
    st.builds(Ack, numbers, peers, updates),
    st.builds(PingRequest, numbers, peers, peers, updates),
)
override_lists = st.lists(
    st.builds(OperatorOverride, texts, st.booleans(), st.integers(0, 1 << 53), texts), max_size=7
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(datagrams, override_lists)
def test_encode_decode_round_trip_keeps_updates_and_overrides_that_fit(
    datagram: Datagram, overrides: list[OperatorOverride]
) -> None:
    data = encode("f", datagram, overrides)
    assert len(data) <= MAX_DATAGRAM_BYTES
    fleet, decoded, decoded_overrides = decode(data)
    assert fleet == "f"
    assert type(decoded) is type(datagram)
    assert decoded_overrides == overrides[: len(decoded_overrides)]
    assert decoded.updates == datagram.updates[: len(decoded.updates)]
    assert decoded.sender == datagram.sender
    assert decoded.sequence_number == datagram.sequence_number
    if len(data) < MAX_DATAGRAM_BYTES // 2:
        assert decoded == datagram
        assert decoded_overrides == overrides


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=200), st.integers(0, 60), datagrams)
def test_decode_arbitrary_bytes_raises_only_datagram_error(
    noise: bytes, position: int, datagram: Datagram
) -> None:
    valid = encode("f", datagram, [])
    corrupted = valid[:position] + noise[:3] + valid[position + 2 :]
    for data in (noise, b"LR\x01" + noise, corrupted, valid[: len(valid) // 2]):
        with contextlib.suppress(DatagramError):
            decode(data)


def test_decode_skips_additional_fields_and_rejects_other_versions() -> None:
    ping = Ping(4, "b", Peer("a", ("127.0.0.1", 7), 1, 2))
    data = encode("f", ping, [OperatorOverride("h", True, 3, "a")])
    rows = msgspec.msgpack.decode(data[3:])
    rows[5] += ["field of a later version"]
    rows += [{"another": "field"}]
    decoded = decode(data[:3] + msgspec.msgpack.encode(rows))
    assert decoded == decode(data) == ("f", ping, [OperatorOverride("h", True, 3, "a")])
    with pytest.raises(DatagramVersionError):
        decode(data[:2] + b"\x02" + data[3:])
    too_long, valid = OperatorOverride("h" * 300, True, 3, "a"), OperatorOverride("h", True, 3, "a")
    assert decode(encode("f", ping, [too_long, valid])) == decoded
    with pytest.raises(DatagramError):
        encode("f", Ping(4, "b" * 200, Peer("a" * 200, ("h" * 900, 7), 1, 2)), [])


RECORDED_HEX = {
    "ping": "4c520198a1660006a162c096a161a93132372e302e302e310701020091"
    "96a162a33a3a31080304019194a168c305a161",
    "ack": "4c520198a1660106a0c096a161a93132372e302e302e31070102009196a162a33a3a310803040190",
    "ping request": "4c520198a1660206a096a162a33a3a310803040196a161a93132372e302e302e31070102009090",
}


def test_encode_each_kind_of_datagram_gives_recorded_bytes() -> None:
    sender = Peer("a", ("127.0.0.1", 7), 1, 2)
    suspected = Peer("b", ("::1", 8), 3, 4, MemberState.SUSPECT)
    overrides = [OperatorOverride("h", True, 5, "a")]
    assert encode("f", Ping(6, "b", sender, (suspected,)), overrides).hex() == RECORDED_HEX["ping"]
    assert encode("f", Ack(6, sender, (suspected,)), []).hex() == RECORDED_HEX["ack"]
    assert encode("f", PingRequest(6, suspected, sender), []).hex() == RECORDED_HEX["ping request"]
