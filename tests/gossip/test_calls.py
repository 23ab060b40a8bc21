"""Operators' calls: whatever way they travel, all relays hold the same in the end. Bytes and settings."""

from __future__ import annotations

import contextlib
import random
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loftrelay.config.toml_file import SettingsError
from loftrelay.gossip.codec import MOST_BYTES, VersionError, WireError, decode, encode
from loftrelay.gossip.operator_overrides import MOST, Call, Calls
from loftrelay.gossip.settings import load_fleet
from loftrelay.gossip.swim import Answer, Datagram, Peer, Probe, ProbeFor, State


@pytest.mark.parametrize("seed", range(60))
def test_calls_over_any_links_end_the_same_everywhere(seed: int) -> None:
    """Lost, doubled and reordered; clocks off by hours; relays that lose all they knew. Whoever said the last
    word on a host and had heard the one before is held to everywhere."""
    chance = random.Random(seed)
    names = [f"r{n}" for n in range(6)]
    relays = {name: Calls(name, chance.getrandbits(32)) for name in names}
    clocks = {name: chance.randrange(-3_600_000, 3_600_000) for name in names}
    halves = {name: chance.randrange(2) for name in names}
    under_way: list[tuple[str, list[Call]]] = []
    now = 1_800_000_000_000
    for step in range(600):
        now += chance.randrange(50)
        name = chance.choice(names)
        match chance.randrange(8):
            case 0:
                relays[name].called(f"h{chance.randrange(4)}", chance.random() < 0.5, now + clocks[name])
            case 1 if chance.random() < 0.05:
                relays[name] = Calls(name, chance.getrandbits(32))  # its stored state is lost
            case _:
                other = chance.choice(names)
                if step > 300 or halves[name] == halves[other]:
                    under_way.append((other, relays[name].pick(5)))
        if under_way and chance.random() < 0.7:
            to, told = under_way.pop(chance.randrange(len(under_way)))
            if chance.random() < 0.6:
                relays[to].heard(told)
    said = relays["r0"].called("h0", True, now + clocks["r0"]) or relays["r0"].known["h0"]
    for _ in range(300):
        for name in names:
            relays[chance.choice(names)].heard(relays[name].pick(5) if chance.random() < 0.6 else [])
    assert all(calls.known == relays["r0"].known for calls in relays.values())
    assert relays["r0"].known["h0"].rank >= said.rank


def test_a_call_goes_before_the_one_that_its_operator_saw_whatever_the_clock() -> None:
    early, late = Calls("early", 1), Calls("late", 2)
    first = late.called("h", True, 10_000_000)
    assert first is not None
    assert early.heard([first, first]) == [first]
    second = early.called("h", False, 5)  # its clock is far behind
    assert second is not None
    assert late.heard([second]) == [second]
    assert not late.known["h"].out
    assert late.heard([first]) == []
    assert late.called("h", False, 11_000_000) is None


def test_what_stood_on_disk_without_a_call_gives_way_to_any() -> None:
    calls = Calls("a", 1)
    calls.load([Call("h1", False, 7, "b")], ["h0", "h1"])
    assert calls.known["h0"].stamp == 0
    assert not calls.known["h1"].out
    back, absurd = Call("h0", False, 1, "z"), Call("h2", True, 1 << 60, "z")
    assert calls.heard([back, absurd]) == [back]


def test_what_is_known_is_bounded_and_keeps_who_is_out() -> None:
    calls = Calls("a", 1)
    for n in range(3 * MOST):
        calls.called(f"h{n}", n % 4 == 0, n)
    assert len(calls.known) == MOST
    assert all(f"h{n}" in calls.known for n in range(2 * MOST, 3 * MOST, 4))
    assert set(calls.spread.told) <= set(calls.known)


# Bytes

texts = st.text(max_size=40)
numbers = st.integers(0, (1 << 63) - 1)
peers = st.builds(
    Peer, texts, st.tuples(texts, st.integers(1, 65535)), numbers, numbers, st.sampled_from(list(State))
)
news = st.lists(peers, max_size=24).map(tuple)
datagrams = st.one_of(
    st.builds(Probe, numbers, texts, peers, news),
    st.builds(Answer, numbers, peers, news),
    st.builds(ProbeFor, numbers, peers, peers, news),
)
told = st.lists(st.builds(Call, texts, st.booleans(), st.integers(0, 1 << 53), texts), max_size=7)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(datagrams, told)
def test_what_is_written_is_read_again_as_far_as_it_fits(datagram: Datagram, calls: list[Call]) -> None:
    data = encode("f", datagram, calls)
    assert len(data) <= MOST_BYTES
    fleet, read, heard = decode(data)
    assert fleet == "f"
    assert type(read) is type(datagram)
    assert heard == calls[: len(heard)]
    assert read.news == datagram.news[: len(read.news)]
    assert read.sender == datagram.sender
    assert read.number == datagram.number
    if len(data) < MOST_BYTES // 2:
        assert read == datagram
        assert heard == calls


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=200), st.integers(0, 60), datagrams)
def test_arbitrary_bytes_are_refused_and_nothing_else(noise: bytes, at: int, datagram: Datagram) -> None:
    whole = encode("f", datagram, [])
    changed = whole[:at] + noise[:3] + whole[at + 2 :]
    for data in (noise, b"LR\x01" + noise, changed, whole[: len(whole) // 2]):
        with contextlib.suppress(WireError):
            decode(data)


def test_later_fields_are_skipped_and_other_versions_refused() -> None:
    probe = Probe(4, "b", Peer("a", ("127.0.0.1", 7), 1, 2))
    data = encode("f", probe, [Call("h", True, 3, "a")])
    rows = msgspec.msgpack.decode(data[3:])
    rows[5] += ["a field that came later"]
    rows += [{"and": "another"}]
    later = decode(data[:3] + msgspec.msgpack.encode(rows))
    assert later == decode(data) == ("f", probe, [Call("h", True, 3, "a")])
    with pytest.raises(VersionError):
        decode(data[:2] + b"\x02" + data[3:])
    assert decode(encode("f", probe, [Call("h" * 300, True, 3, "a"), Call("h", True, 3, "a")])) == later
    with pytest.raises(WireError):
        encode("f", Probe(4, "b" * 200, Peer("a" * 200, ("h" * 900, 7), 1, 2)), [])


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ('listen = "127.0.0.1:0"', "listen = '127.0.0.1:0': all keys stand in the table [fleet]"),
        ('[fleet]\nlisten = "relay.example:7"', "listen = 'relay.example:7': is no IP address"),
        ('[fleet]\nlisten = "127.0.0.1:0"\nseeds = "127.0.0.1:7"', "seeds = '127.0.0.1:7': is not a list"),
        ('[fleet]\nlisten = "127.0.0.1:0"\nseeds = ["127.0.0.1:0"]', "seeds = '127.0.0.1:0': is no IP"),
        ('[fleet]\nlisten = "127.0.0.1:0"\nbeat_ms = 1.5', "beat_ms = 1.5: is not a whole number"),
        ('[fleet]\nlisten = "127.0.0.1:0"\nbeat_ms = 900', "suspect_ms = 1000: is less than two beats"),
        ('[fleet]\nlisten = "127.0.0.1:0"\nbeats = 1', "beats = 1: no such key"),
    ],
)
def test_a_wrong_file_is_named_with_its_key_and_value(tmp_path: Path, text: str, why: str) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(text)
    with pytest.raises(SettingsError) as error:
        load_fleet(path, {})
    assert str(error.value).startswith(f"{path}: {why}")


def test_the_file_that_stands_in_deploy_is_sound_and_the_environment_goes_before_it() -> None:
    path = Path(__file__).parents[2] / "deploy" / "fleet.toml"
    assert load_fleet(path, {}).listen == ("10.0.0.4", 7400)
    assert load_fleet(path, {"RELAY_FLEET_LISTEN": "[::1]:0"}).listen == ("::1", 0)
    with pytest.raises(SettingsError, match="RELAY_FLEET_LISTEN = 'x'"):
        load_fleet(path, {"RELAY_FLEET_LISTEN": "x"})


GOLDEN = {
    "ping": "4c520198a1660006a162c096a161a93132372e302e302e310701020091"
    "96a162a33a3a31080304019194a168c305a161",
    "ack": "4c520198a1660106a0c096a161a93132372e302e302e31070102009196a162a33a3a310803040190",
    "ping request": "4c520198a1660206a096a162a33a3a310803040196a161a93132372e302e302e31070102009090",
}


def test_the_bytes_of_each_kind_of_datagram_are_as_recorded() -> None:
    sender = Peer("a", ("127.0.0.1", 7), 1, 2)
    suspected = Peer("b", ("::1", 8), 3, 4, State.SUSPECT)
    calls = [Call("h", True, 5, "a")]
    assert encode("f", Probe(6, "b", sender, (suspected,)), calls).hex() == GOLDEN["ping"]
    assert encode("f", Answer(6, sender, (suspected,)), []).hex() == GOLDEN["ack"]
    assert encode("f", ProbeFor(6, suspected, sender), []).hex() == GOLDEN["ping request"]
