"""Datagrams as bytes: read as they were written, other bytes refused, the wire as recorded."""

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
news = st.lists(peers, max_size=24).map(tuple)
datagrams = st.one_of(
    st.builds(Ping, numbers, texts, peers, news),
    st.builds(Ack, numbers, peers, news),
    st.builds(PingRequest, numbers, peers, peers, news),
)
override_lists = st.lists(
    st.builds(OperatorOverride, texts, st.booleans(), st.integers(0, 1 << 53), texts), max_size=7
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(datagrams, override_lists)
def test_encoded_datagram_decodes_as_far_as_it_fits(
    datagram: Datagram, overrides: list[OperatorOverride]
) -> None:
    data = encode("f", datagram, overrides)
    assert len(data) <= MAX_DATAGRAM_BYTES
    fleet, read, decoded_overrides = decode(data)
    assert fleet == "f"
    assert type(read) is type(datagram)
    assert decoded_overrides == overrides[: len(decoded_overrides)]
    assert read.updates == datagram.updates[: len(read.updates)]
    assert read.sender == datagram.sender
    assert read.sequence_number == datagram.sequence_number
    if len(data) < MAX_DATAGRAM_BYTES // 2:
        assert read == datagram
        assert decoded_overrides == overrides


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=200), st.integers(0, 60), datagrams)
def test_arbitrary_bytes_raise_only_datagram_error(noise: bytes, at: int, datagram: Datagram) -> None:
    whole = encode("f", datagram, [])
    changed = whole[:at] + noise[:3] + whole[at + 2 :]
    for data in (noise, b"LR\x01" + noise, changed, whole[: len(whole) // 2]):
        with contextlib.suppress(DatagramError):
            decode(data)


def test_additional_fields_are_skipped_and_other_versions_refused() -> None:
    probe = Ping(4, "b", Peer("a", ("127.0.0.1", 7), 1, 2))
    data = encode("f", probe, [OperatorOverride("h", True, 3, "a")])
    rows = msgspec.msgpack.decode(data[3:])
    rows[5] += ["a field that came later"]
    rows += [{"and": "another"}]
    later = decode(data[:3] + msgspec.msgpack.encode(rows))
    assert later == decode(data) == ("f", probe, [OperatorOverride("h", True, 3, "a")])
    with pytest.raises(DatagramVersionError):
        decode(data[:2] + b"\x02" + data[3:])
    assert (
        decode(
            encode(
                "f", probe, [OperatorOverride("h" * 300, True, 3, "a"), OperatorOverride("h", True, 3, "a")]
            )
        )
        == later
    )
    with pytest.raises(DatagramError):
        encode("f", Ping(4, "b" * 200, Peer("a" * 200, ("h" * 900, 7), 1, 2)), [])


GOLDEN = {
    "ping": "4c520198a1660006a162c096a161a93132372e302e302e310701020091"
    "96a162a33a3a31080304019194a168c305a161",
    "ack": "4c520198a1660106a0c096a161a93132372e302e302e31070102009196a162a33a3a310803040190",
    "ping request": "4c520198a1660206a096a162a33a3a310803040196a161a93132372e302e302e31070102009090",
}


def test_bytes_of_each_kind_of_datagram_are_as_recorded() -> None:
    sender = Peer("a", ("127.0.0.1", 7), 1, 2)
    suspected = Peer("b", ("::1", 8), 3, 4, MemberState.SUSPECT)
    overrides = [OperatorOverride("h", True, 5, "a")]
    assert encode("f", Ping(6, "b", sender, (suspected,)), overrides).hex() == GOLDEN["ping"]
    assert encode("f", Ack(6, sender, (suspected,)), []).hex() == GOLDEN["ack"]
    assert encode("f", PingRequest(6, suspected, sender), []).hex() == GOLDEN["ping request"]
