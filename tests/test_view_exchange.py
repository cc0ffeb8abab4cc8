from random import Random
from tracemalloc import get_traced_memory, start, stop

import pytest
from msgspec.msgpack import Encoder

from lycheeglade.address import Address
from lycheeglade.errors import PacketError
from lycheeglade.relay_message import (
    Duty,
    Peers,
    ViewStatus,
    decode_message,
    encode_message,
)
from lycheeglade.route import RoutingView
from lycheeglade.store_revision import StoreRevision, ViewVersion
from lycheeglade.view_exchange import (
    FETCH_DELAY_S,
    MAX_NEIGHBOURS,
    PEER_TIMEOUT_S,
    ViewExchange,
)

OWN = Address("10.1.0.1", 7720)
PEER = Address("10.1.0.2", 7720)
THIRD = Address("10.1.0.3", 7720)
MAX_USED_BYTES = 8 << 20


def make_version(revision):
    return ViewVersion(StoreRevision(0, revision), 0)


@pytest.fixture
def exchange():
    return ViewExchange(OWN, Random(1))


def test_peer_that_stays_ahead_is_asked(exchange):
    exchange.receive_peers(Peers(9, ()), PEER, 1.0)
    assert exchange.choose_source(make_version(9), 5.0) is None
    assert exchange.choose_source(make_version(8), 1.0) is None
    assert exchange.choose_source(make_version(8), 1.01 + FETCH_DELAY_S) == PEER


def test_process_that_starts_catches_up_without_a_delay():
    """Its first read of the store may be older than its peers' views."""
    started = ViewExchange(OWN, Random(1), started_at=20.0)
    started.receive_peers(Peers(9, ()), PEER, 20.1)
    assert started.choose_source(make_version(8), 20.1) == PEER


def test_peers_of_peers_become_known(exchange):
    exchange.receive_peers(Peers(9, (THIRD, OWN)), PEER, 1.0)
    sent = []
    exchange.gossip(
        (), make_version(9), lambda address, message: sent.append(address), 1.1
    )
    assert sorted(sent) == [PEER, THIRD]


def test_peer_that_is_silent_is_forgotten(exchange):
    exchange.receive_peers(Peers(9, ()), PEER, 1.0)
    exchange.gossip(
        (), make_version(1), lambda address, message: None, 1.1 + PEER_TIMEOUT_S
    )
    assert exchange.choose_source(make_version(1), 1.1 + PEER_TIMEOUT_S) is None


def flood(exchange):
    """Receive messages of many senders, and with many names, in a second."""
    version = make_version(9)
    for number in range(8_000):
        source = Address(f"10.2.{number >> 8}.{number & 255}", 7720)
        names = [Address(f"10.{4 + n}.{source.ip[5:]}", 7720) for n in range(10)]
        exchange.receive(Peers(9, tuple(names)), source, version, 1.0)
        status = ViewStatus("nadi-a", 9, 9, Duty.FOLLOWER, ())
        exchange.receive(status, source, version, 1.0)


def test_floods_of_senders_and_names_do_not_use_up_the_memory(exchange):
    """The tables grew by each of them for five seconds."""
    exchange.receive(Peers(9, ()), PEER, make_version(8), 1.0)
    start()
    flood(exchange)
    used, _ = get_traced_memory()
    stop()
    assert used < MAX_USED_BYTES
    # Those that were known before still count.
    exchange.receive(Peers(10, ()), PEER, make_version(9), 2.0)
    assert exchange.choose_source(make_version(9), 3.0) == PEER


def test_balancers_are_learned_again_after_a_flood(exchange):
    """The names and senders of the flood expire."""
    flood(exchange)
    now = 1.1 + PEER_TIMEOUT_S
    exchange.gossip((), make_version(9), lambda address, message: None, now)
    exchange.receive(Peers(10, (THIRD,)), PEER, make_version(9), now)
    assert exchange.choose_source(make_version(9), now + 1.0) == PEER
    sent = []
    exchange.gossip(
        (), make_version(9), lambda address, message: sent.append(address), now
    )
    assert sorted(sent) == [PEER, THIRD]


def test_status_with_too_many_neighbours_causes_few_messages(exchange):
    """One datagram may name thousands of addresses."""
    names = tuple(Address(f"10.2.{n >> 8}.{n & 255}", 7720) for n in range(3000))
    status = ViewStatus("nadi-a", 9, 9, Duty.FOLLOWER, names)
    replies = exchange.receive(status, PEER, make_version(9), 1.0)
    assert len(replies) <= MAX_NEIGHBOURS + 1


def test_seeds_are_asked_and_never_oneself(exchange):
    sent = []
    exchange.gossip(
        (OWN,), make_version(0), lambda address, message: sent.append(address), 1.0
    )
    assert sent == []
    exchange.gossip(
        (OWN, PEER), make_version(1), lambda address, message: sent.append(address), 1.0
    )
    assert sent == [PEER]
    # Without a view, all seeds are asked at once, and the first that has one
    # is the source.
    seeds = (OWN, PEER, THIRD, Address("10.1.0.4", 7720))
    sent.clear()
    exchange.gossip(
        seeds, make_version(0), lambda address, message: sent.append(address), 1.0
    )
    assert sorted(sent) == sorted(seeds[1:])
    exchange.receive_peers(Peers(9, ()), PEER, 1.1)
    assert exchange.choose_source(make_version(0), 1.1) == PEER


def test_messages_are_read_as_they_were_written():
    message = Peers(4, (PEER, THIRD))
    assert decode_message(encode_message(message)) == message


def test_messages_of_the_former_build_are_read_without_an_era():
    encode = Encoder().encode
    peers = decode_message(encode([6, 9, [list(PEER)]]))
    assert (peers.revision, peers.era, peers.configuration) == (9, 0, 0)
    status = decode_message(encode([8, "nadi-a", 9, 9, "watcher", []]))
    assert status.version == make_version(9)


def test_unknown_fields_and_messages_of_a_later_build_do_no_harm():
    encode = Encoder().encode
    peers = decode_message(encode([6, 9, [list(PEER)], 2, 5, "later"]))
    assert peers == Peers(9, (PEER,), 2, 5)
    with pytest.raises(PacketError):
        decode_message(encode([99, "later"]))


def test_peer_of_a_later_era_is_ahead_whatever_its_revision(exchange):
    exchange.receive_peers(Peers(3, (), era=2), PEER, 1.0)
    own = ViewVersion(StoreRevision(1, 500), 1)
    assert exchange.choose_source(own, 1.01 + FETCH_DELAY_S) == PEER
    assert exchange.choose_source(own._replace(store=StoreRevision(3, 1)), 5.0) is None


def test_peer_with_a_newer_configuration_is_ahead(exchange):
    exchange.receive_peers(Peers(3, (), era=1, configuration=9), PEER, 1.0)
    own = ViewVersion(StoreRevision(2, 500), 8)
    assert exchange.choose_source(own, 1.01 + FETCH_DELAY_S) == PEER
    exchange.record_fetch(PEER, own._replace(configuration=7))
    assert exchange.choose_source(own, 2.0) is None


def test_watcher_of_an_earlier_era_counts_as_none():
    """It may be cut off from the store, or of a build that reads no era."""
    exchange = ViewExchange(OWN, Random(1), "nadi-a", started_at=0.0)
    view = RoutingView(9, 1, era=2)
    duties = set()
    for step in range(100):
        now = step / 50
        status = ViewStatus("nadi-a", 500, 500, Duty.WATCHER, era=1)
        exchange.receive(status, PEER, view.version, now)
        duties.add(exchange.tick(tuple, view, lambda address, message: None, now))
    assert duties == {Duty.FOLLOWER, Duty.TRYING}
    assert exchange.checked == StoreRevision()
