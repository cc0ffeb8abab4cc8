from pathlib import Path

import pytest

from deployed_settings import AGENT, BALANCER, parse_settings
from lycheeglade.address import Address, Zone
from lycheeglade.errors import OptionError

TEXT = (Path(__file__).parent / "data" / "platform-settings.conf").read_text()


def without(name):
    lines = [line for line in TEXT.splitlines() if not line.startswith(name + "=")]
    return "\n".join(lines)


def test_settings_of_an_agent():
    settings = parse_settings(TEXT, "boot.conf")
    assert settings.host_id == "side-a-1"
    assert settings.zone == Zone("viti-west", "nadi-a")
    assert settings.internal == Address("10.1.0.13", 7720)
    assert settings.outbound == Address("10.1.0.13", 8162)
    assert settings.upstream == Address("10.1.0.13", 8165)
    assert settings.seeds == (Address("10.1.0.10", 7720), Address("10.2.0.40", 7720))
    assert settings.region_by_zone == {"nadi-a": "viti-west", "nadi-b": "viti-west"}


def test_balancer_has_no_upstream():
    settings = parse_settings(without("app"), "boot.conf")
    assert settings.upstream is None


@pytest.mark.parametrize("name", ["ip", "zone", "listen.ready-addr", "node-name"])
def test_missing_value_is_named(name):
    with pytest.raises(OptionError, match=name):
        parse_settings(without(name), "boot.conf")


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("listen.datagram-addr", "nowhere"),
        ("internal-port-range", "many"),
        ("platform.address", "10.0.0.1:99999"),
    ],
)
def test_wrong_value_is_named(name, value):
    text = without(name) + f"\n{name}={value}\n"
    with pytest.raises(OptionError, match=name) as caught:
        parse_settings(text, "boot.conf")
    assert value.split(":")[-1] in str(caught.value)


def test_bounds_of_cold_targets():
    text = TEXT + "\nbounds.warmup-overage=1.5\nbounds.warmup-slack=5\n"
    settings = parse_settings(text, "boot.conf")
    assert (settings.warmup_overage, settings.warmup_slack) == (1.5, 5.0)
    assert settings.invalid_bounds == ()


def test_bounds_are_optional():
    settings = parse_settings(TEXT, "boot.conf")
    assert (settings.warmup_overage, settings.warmup_slack) == (None, None)
    assert settings.invalid_bounds == ()


@pytest.mark.parametrize("value", ["many", "-1", "nan", "inf", "1e30"])
def test_invalid_bound_counts_as_missing_and_is_named(value):
    """A process must not fail to start because of an optional value."""
    text = TEXT + f"\nbounds.warmup-overage={value}\nbounds.warmup-slack={value}\n"
    settings = parse_settings(text, "boot.conf")
    assert (settings.warmup_overage, settings.warmup_slack) == (None, None)
    assert settings.invalid_bounds == (
        f"bounds.warmup-overage={value}",
        f"bounds.warmup-slack={value}",
    )


def test_overage_of_zero_is_invalid_and_slack_of_zero_is_not():
    text = TEXT + "\nbounds.warmup-overage=0\nbounds.warmup-slack=0\n"
    settings = parse_settings(text, "boot.conf")
    assert (settings.warmup_overage, settings.warmup_slack) == (None, 0.0)


@pytest.mark.parametrize(
    "seed",
    [
        "edge-a:8166",
        "10.2.0.40:\N{SUPERSCRIPT TWO}",
        "10.2.0.40:99999",
        "10.2.0.40:" + "9" * 5000,
        "10.2.0.40",
        "10.2.0.400:8166",
        "10.2.0.40\0:8166",
        "10.2.0.40:8166:8166",
        "x" * 100_000,
    ],
    ids=lambda seed: seed[:20],
)
def test_seed_that_cannot_be_used_is_named_and_the_others_are_used(seed):
    """It ended the process, or made it forget the other seeds."""
    text = without("seeds") + f"\nseeds=10.1.0.10:8166,{seed},,10.1.0.11:8166\n"
    settings = parse_settings(text, "boot.conf")
    assert settings.seeds == (Address("10.1.0.10", 7720), Address("10.1.0.11", 7720))
    assert list(settings.reasons_by_seed) == [seed]
    assert settings.reasons_by_seed[seed]


def test_own_zone_has_a_region_if_the_list_of_zones_lacks_it():
    """All targets of the own zone were left out as unreadable."""
    text = "\n".join(
        line for line in TEXT.splitlines() if not line.startswith("zones.")
    )
    settings = parse_settings(f"{text}\nzones.nadi-b=viti-west\n", "boot.conf")
    assert settings.region_by_zone == {"nadi-a": "viti-west", "nadi-b": "viti-west"}
    assert parse_settings(text, "boot.conf").region_by_zone == {"nadi-a": "viti-west"}


def test_own_zone_has_a_region_if_the_list_of_zones_names_none():
    settings = parse_settings(f"{TEXT}\nzones.nadi-a=\n", "boot.conf")
    assert settings.region_by_zone == {"nadi-a": "viti-west", "nadi-b": "viti-west"}


def test_ipv6_seed_is_named():
    """A socket of the balancer's IPv4 address drops all messages to it."""
    text = f"{TEXT}\nseeds=[fd00::1]:8166,10.1.0.11:8166\n"
    settings = parse_settings(text, "boot.conf")
    assert settings.seeds == (Address("10.1.0.11", 7720),)
    reason = "expected an address of the family of 10.1.0.13"
    assert settings.reasons_by_seed == {"[fd00::1]:8166": reason}


def test_repeated_seeds_are_one():
    text = f"{TEXT}\nseeds=10.1.0.11:8166,10.1.0.11:8166,10.1.0.11:1\n"
    settings = parse_settings(text, "boot.conf")
    assert set(settings.seeds) == {Address("10.1.0.11", 7720)}


def test_ipv6_address_of_the_store_is_used():
    text = f"{TEXT}\nplatform.address=[fd00::1]:8169\n"
    settings = parse_settings(text, "boot.conf")
    assert settings.store == Address("fd00::1", 8169)


@pytest.mark.parametrize("role", [BALANCER, AGENT])
@pytest.mark.parametrize("junk", ["\0", "\0" * 5000, "=" * 5000, "x" * 1_000_000])
def test_unknown_lines_change_nothing(junk, role):
    """New fields may come, whatever they hold."""
    usual = parse_settings(TEXT, "boot.conf", role)
    text = f"{junk}\na={junk}\n{junk}=\n{TEXT}\n{junk}"
    assert parse_settings(text, "boot.conf", role) == usual


@pytest.mark.parametrize("name", ["ip", "platform.address", "app", "seeds"])
def test_nul_bytes_make_an_address_unusable(name):
    text = f"{TEXT}\n{name}=10.1.0.13\0:8165\n"
    if name == "seeds":
        assert parse_settings(text, "boot.conf").seeds == ()
    else:
        with pytest.raises(OptionError, match=name):
            parse_settings(text, "boot.conf")
