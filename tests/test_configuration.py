from string import ascii_letters, digits

from hypothesis import given
from hypothesis import strategies as st

from lycheeglade.address import Address, Zone
from lycheeglade.configuration import (
    format_hosts,
    format_service,
    parse_hosts,
    parse_service,
)
from lycheeglade.view import Host, Protocol, Role, Service, State, Target

names = st.builds(
    str.__add__,
    st.sampled_from(ascii_letters + digits),
    st.text(ascii_letters + digits + "._-", max_size=12),
)
zones = st.builds(Zone, names, names)
addresses = st.builds(
    Address, st.ip_addresses().map(str), st.integers(min_value=1, max_value=65535)
)
seconds = st.floats(min_value=0.1, max_value=86400.0)
states = st.sampled_from(State)


@st.composite
def services(draw):
    places = draw(st.lists(zones, min_size=1, max_size=4, unique=True))
    hosts = draw(st.lists(names, min_size=1, max_size=3, unique=True))
    zone_by_host = {host: draw(st.sampled_from(places)) for host in hosts}
    agent_by_host = {host: draw(addresses) for host in hosts}
    upstreams = draw(st.lists(addresses, max_size=5, unique=True))
    target_ids = draw(
        st.lists(names, min_size=len(upstreams), max_size=len(upstreams), unique=True)
    )
    targets_by_id = {}
    for target_id, upstream in zip(target_ids, upstreams, strict=True):
        host = draw(st.sampled_from(hosts))
        targets_by_id[target_id] = Target(
            target_id=target_id,
            host_id=host,
            zone=zone_by_host[host],
            agent=agent_by_host[host],
            upstream=upstream,
            weight=draw(st.floats(min_value=0.001, max_value=1000.0)),
            slots=draw(st.integers(1, 10_000)),
            connections=draw(st.integers(1, 1_000_000)),
            state=draw(states),
        )
    return Service(
        name=draw(names),
        tenant=draw(names),
        revision=draw(st.integers(0, 2**62)),
        protocol=draw(st.sampled_from(Protocol)),
        addresses=tuple(draw(st.lists(addresses, min_size=1, unique=True))),
        places=tuple(str(place) for place in places),
        targets_by_id=targets_by_id,
        request_timeout=draw(seconds),
        heartbeat=draw(seconds),
        flow_idle=draw(seconds),
        cold_start=draw(seconds),
        grace=draw(seconds),
    )


@st.composite
def host_lists(draw):
    ids = draw(st.lists(names, max_size=6, unique=True))
    size = {"min_size": len(ids), "max_size": len(ids), "unique": True}
    packets = draw(st.lists(addresses, **size))
    controls = draw(st.lists(addresses, **size))
    return tuple(
        Host(host_id, draw(st.sampled_from(Role)), draw(zones), *pair, draw(states))
        for host_id, *pair in zip(ids, packets, controls, strict=True)
    )


@given(services())
def test_service_survives_a_round_trip(service):
    text = format_service(service)
    assert parse_service(text, "source", service.revision) == service


@given(host_lists())
def test_hosts_survive_a_round_trip(hosts):
    assert parse_hosts(format_hosts(hosts), "source") == hosts
