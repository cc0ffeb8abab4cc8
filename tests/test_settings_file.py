"""Reading of a settings file that may change at any moment."""

from os import utime

import pytest

from deployed_settings import AGENT, BALANCER
from lycheeglade.address import Address
from settings_file import RETRY_S, SETTLED_S, SettingsFile
from tests.test_deployed_settings import TEXT


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now

    def advance(self, seconds):
        self.now += seconds


@pytest.fixture
def path(tmp_path):
    return tmp_path / "boot.conf"


@pytest.fixture
def events():
    return []


@pytest.fixture
def log(events):
    return lambda event, **fields: events.append((event, fields))


def test_error_is_logged_when_it_changes_and_not_each_time(path, events, log):
    pauses = []

    def pause(seconds):
        pauses.append(seconds)
        if len(pauses) == 10:
            path.write_text("")
        if len(pauses) == 20:
            path.write_text(TEXT)

    settings = SettingsFile(str(path), AGENT, log).wait(pause)
    assert settings.host_id == "side-a-1"
    assert pauses == [RETRY_S] * 20
    assert events == [
        (
            "settings-unreadable",
            {"path": str(path), "reason": "No such file or directory"},
        ),
        (
            "settings-unreadable",
            {"path": str(path), "reason": "ip: is missing or empty"},
        ),
        ("settings-regained", {"path": str(path)}),
    ]


def test_usable_settings_are_read_at_once_and_without_a_line(path, events, log):
    path.write_text(TEXT)
    assert SettingsFile(str(path), BALANCER, log).wait(pytest.fail).seeds
    assert events == []


def test_file_without_read_permission_is_read_again(path, events, log, monkeypatch):
    """Tests may run as a user to whom permissions don't apply."""
    path.write_text(TEXT)

    def deny(path):
        raise PermissionError(13, "Permission denied", path)

    monkeypatch.setattr("settings_file.read_text", deny)
    settings = SettingsFile(str(path), BALANCER, log).wait(
        lambda seconds: monkeypatch.undo()
    )
    assert settings.host_id == "side-a-1"
    assert events[0] == (
        "settings-unreadable",
        {"path": str(path), "reason": "Permission denied"},
    )


def test_seeds_stay_until_others_can_be_used(path, events, log):
    file = SettingsFile(str(path), BALANCER, log)
    path.write_text(TEXT)
    seeds = file.wait(pytest.fail).seeds
    for text in (
        "",
        TEXT.replace("seeds=", "seed="),
        TEXT + "seeds=edge-a:8166\n",
        TEXT + "seeds=edge-a:8166,edge-b:8166\n",
    ):
        path.write_text(text)
        assert file.find_seeds() == file.find_seeds() == seeds
    path.unlink()
    assert file.find_seeds() == seeds
    path.write_text(TEXT + "seeds=10.1.0.11:8166,edge-b:8166\nip=nowhere\n")
    assert file.find_seeds() == file.find_seeds() == (Address("10.1.0.11", 7720),)
    path.write_text(TEXT + "seeds=\n")
    assert file.find_seeds() == ()
    path.write_text("")
    assert file.find_seeds() == ()
    assert [event for event, _ in events] == [
        "settings-unreadable",
        "settings-unreadable",
        "settings-regained",
        "seed-ignored",
        "seed-ignored",
        "settings-unreadable",
        "settings-regained",
        "settings-unreadable",
    ]


def test_two_changes_in_quick_succession_are_both_followed(path, log):
    """The second one must not be missed for having the time of the first."""
    file = SettingsFile(str(path), BALANCER, log)
    path.write_text(TEXT)
    file.wait(pytest.fail)
    for number in (11, 12):
        path.write_text(f"{TEXT}seeds=10.1.0.{number}:8166\n")
        utime(path, (1, 1))
        assert file.find_seeds() == (Address(f"10.1.0.{number}", 7720),)


def test_store_and_seeds_change_independently(path, events, log):
    """A value that can't be used must not keep the other one from changing."""
    file = SettingsFile(str(path), BALANCER, log)
    path.write_text(TEXT)
    store = file.wait(pytest.fail).store
    path.write_text(TEXT + "platform.address=\nseeds=10.1.0.11:8166\n")
    assert file.find_store() == store
    assert file.find_seeds() == (Address("10.1.0.11", 7720),)
    path.write_text(TEXT.replace("seeds=", "seed=") + "platform.address=10.2.0.1:1\n")
    assert file.find_store() == Address("10.2.0.1", 1)
    assert file.find_seeds() == (Address("10.1.0.11", 7720),)
    assert [fields.get("reason", event) for event, fields in events] == [
        "platform.address: is missing or empty",
        "seeds: is missing or empty",
        "store-moved",
    ]


def test_value_that_is_cut_off_is_not_used_for_a_shorter_one(path, events, log):
    """Its process would use a wrong port until its next restart."""
    path.write_text(TEXT[:-3])
    settings = SettingsFile(str(path), BALANCER, log).wait(
        lambda seconds: path.write_text(TEXT)
    )
    assert settings.store == Address("10.200.1.7", 8169)
    assert events == [
        (
            "settings-unreadable",
            {"path": str(path), "reason": "text: the last line has no end"},
        ),
        ("settings-regained", {"path": str(path)}),
    ]


def test_file_whose_last_line_has_no_end_is_used_once_it_stays(path, log):
    """A platform that writes it so must not keep the process from starting."""
    clock = Clock()
    path.write_text(TEXT.strip())
    settings = SettingsFile(str(path), BALANCER, log, clock).wait(clock.advance)
    assert settings.store == Address("10.200.1.7", 8169)
    assert clock.now == pytest.approx(SETTLED_S, abs=RETRY_S)


def test_file_that_is_written_slowly_is_not_used_before_its_end(path, log):
    """It was used if it was the same at two reads in quick succession."""
    clock = Clock()
    path.write_text(TEXT[:-3])

    def pause(seconds):
        clock.advance(seconds)
        if clock.now > SETTLED_S / 2:
            path.write_text(TEXT)

    settings = SettingsFile(str(path), BALANCER, log, clock).wait(pause)
    assert settings.store == Address("10.200.1.7", 8169)


def test_change_that_is_cut_off_is_followed_once_it_stays(path, log):
    path.write_text(TEXT)
    clock = Clock()
    file = SettingsFile(str(path), BALANCER, log, clock)
    store = file.wait(pytest.fail).store
    path.write_text(TEXT + "platform.address=10.200.1.8:81")
    assert file.find_store() == store
    assert file.find_store() == store
    path.write_text(TEXT + "platform.address=10.200.1.8:8169")
    assert file.find_store() == store
    clock.advance(SETTLED_S)
    assert file.find_store() == Address("10.200.1.8", 8169)


@pytest.mark.parametrize("line", ["ip={}", "seeds={}:8166", "platform.address={}:1"])
def test_long_values_are_shortened_in_the_log(path, events, log, line):
    """The rest of the line, with what is wrong, was cut off."""
    path.write_text(TEXT + line.format("x" * 1_000_000) + "\n")
    SettingsFile(str(path), BALANCER, log).wait(lambda seconds: path.write_text(TEXT))
    fields = events[0][1]
    assert all(len(value) < 1000 for value in fields.values())
    assert "does not appear to be an IP" in fields["reason"]
