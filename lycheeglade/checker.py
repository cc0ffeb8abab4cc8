"""Validation of settings, published values and teams' answers."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from ipaddress import ip_address
from pathlib import Path
from typing import NamedTuple

from lycheeglade.address import Address
from lycheeglade.answers import parse_answers
from lycheeglade.configuration import parse_hosts, parse_service
from lycheeglade.contradictions import find_contradictions
from lycheeglade.errors import ConfigurationError, OptionError
from lycheeglade.options import OptionReader, suggest_name
from lycheeglade.settings import Settings, parse_settings, read_text
from lycheeglade.view import Host, Role, Service, View


class OptionPlace(NamedTuple):
    """File and section in which an option is set."""

    source: str
    section: str

    def __str__(self):
        return f"{self.source} [{self.section}]"


@dataclass(frozen=True, slots=True)
class CheckedFiles:
    """Contents of the valid files by kind, and all errors found."""

    settings_by_source: dict[str, Settings] = field(default_factory=dict)
    services_by_source: dict[str, Service] = field(default_factory=dict)
    hosts_by_source: dict[str, tuple[Host, ...]] = field(default_factory=dict)
    errors: list[OptionError] = field(default_factory=list)


def check_files(paths: Iterable[str | Path]) -> list[OptionError]:
    """Return all errors in the files at `paths`.

    A folder stands for all ``.ini`` files below it. The sections of a file
    determine its kind: ``[process]`` makes it settings, ``[team]`` a team's
    answers, ``[service]`` a service, ``[host NAME]`` a list of hosts. Files
    that are valid by themselves are also checked against each other.
    """
    return _check(paths).errors


def load_view(paths: Iterable[str | Path]) -> View:
    """Return the view that the published values at `paths` declare.

    Settings and answers among the files are checked, but not part of the
    view.

    Raises
    ------
    ConfigurationError
        If any file is invalid, with one `OptionError` for each error.
    """
    checked = _check(paths)
    if checked.errors:
        raise ConfigurationError("invalid settings or published values", checked.errors)
    services = checked.services_by_source.values()
    return View(
        0, {service.name: service for service in services}, _hosts_by_id(checked)
    )


def _check(paths: Iterable[str | Path]) -> CheckedFiles:
    checked = CheckedFiles()
    for path in _list_files(paths, checked):
        try:
            _read_file(str(path), checked)
        except ConfigurationError as error:
            checked.errors.extend(error.exceptions)
    checked.errors.extend(compare_services(checked.services_by_source))
    checked.errors.extend(compare_hosts(checked.hosts_by_source))
    checked.errors.extend(compare_settings(checked.settings_by_source))
    checked.errors.extend(_compare_targets_with_hosts(checked))
    checked.errors.extend(_compare_settings_with_hosts(checked))
    checked.errors.extend(_compare_settings_with_services(checked))
    return checked


def compare_services(services_by_source: dict[str, Service]) -> list[OptionError]:
    """Return the conflicts between services.

    Services must not have a name, an address or an upstream in common.
    """
    names, addresses, upstreams = _ValueClaims(), _ValueClaims(), _ValueClaims()
    for source, service in services_by_source.items():
        place = OptionPlace(source, "service")
        names.claim(service.name, place, "name")
        for address in service.addresses:
            addresses.claim(address, place, "addresses")
        for target in service.targets_by_id.values():
            target_place = OptionPlace(source, f"target {target.target_id}")
            upstreams.claim(target.upstream, target_place, "upstream")
    return names.errors + addresses.errors + upstreams.errors


def compare_hosts(
    hosts_by_source: dict[str, tuple[Host, ...]],
) -> list[OptionError]:
    """Return an error for each name or address that several hosts share."""
    names, packets, controls = _ValueClaims(), _ValueClaims(), _ValueClaims()
    for source, hosts in hosts_by_source.items():
        for host in hosts:
            place = OptionPlace(source, f"host {host.host_id}")
            names.claim(host.host_id, place, "name")
            packets.claim(host.packets, place, "packets")
            controls.claim(host.control, place, "control")
    return names.errors + packets.errors + controls.errors


def compare_settings(settings_by_source: dict[str, Settings]) -> list[OptionError]:
    """Return an error for each name or address that processes share."""
    names, datagrams, streams = _ValueClaims(), _ValueClaims(), _ValueClaims()
    for source, settings in settings_by_source.items():
        place = OptionPlace(source, "process")
        names.claim(settings.host_id, place, "host")
        datagrams.claim(settings.packets, place, "packets")
        streams.claim(settings.control, place, "control")
        if not _is_own_loopback(settings):
            streams.claim(settings.operators, place, "operators")
        listen_place = OptionPlace(source, "listen")
        for service, addresses in settings.listen_by_service.items():
            for address in addresses:
                datagrams.claim(address, listen_place, service)
    return names.errors + datagrams.errors + streams.errors


def _is_own_loopback(settings: Settings) -> bool:
    """Return whether the operators' IP is loopback and the host's IP is not.

    Processes on other hosts may then use the same loopback address.
    """
    operators, packets = settings.operators.ip, settings.packets.ip
    return ip_address(operators).is_loopback and not ip_address(packets).is_loopback


class _ValueClaims:
    """The first place that uses each value, and the conflicts of others."""

    def __init__(self):
        self.errors: list[OptionError] = []
        self._place_by_value: dict[str | Address, OptionPlace] = {}

    def claim(self, value: str | Address, place: OptionPlace, option: str) -> None:
        """Add an error if another place has claimed `value` before."""
        first_place = self._place_by_value.setdefault(value, place)
        if first_place != place:
            reason = f"{value} stands in {first_place} too"
            self.errors.append(OptionError(*place, option, reason))


def _list_files(paths: Iterable[str | Path], checked: CheckedFiles) -> Iterator[Path]:
    for path in map(Path, paths):
        if path.is_dir():
            found = sorted(path.rglob("*.ini"))
            if not found:
                checked.errors.append(
                    OptionError(str(path), "-", "file", "the folder has no .ini file")
                )
            yield from found
        else:
            yield path


def _read_file(source: str, checked: CheckedFiles) -> None:
    text = read_text(source)
    sections = OptionReader(text, source).section_names
    if "process" in sections:
        checked.settings_by_source[source] = parse_settings(text, source)
    elif "team" in sections:
        answers = parse_answers(text, source)
        checked.errors.extend(find_contradictions(answers, source))
    elif "service" in sections:
        checked.services_by_source[source] = parse_service(text, source, 0)
    elif any(section.startswith("host ") for section in sections):
        checked.hosts_by_source[source] = parse_hosts(text, source)
    else:
        reason = "has none of [process], [service], [team] and [host NAME]"
        if sections:
            hint = suggest_name(sections[0], ("process", "service", "host NAME"))
            reason = f"{reason}; [{sections[0]}] is unknown, {hint}"
        checked.errors.append(OptionError(source, "-", "file", reason))


def _hosts_by_id(checked: CheckedFiles) -> dict[str, Host]:
    return {
        host.host_id: host
        for hosts in checked.hosts_by_source.values()
        for host in hosts
    }


def _compare_targets_with_hosts(checked: CheckedFiles) -> list[OptionError]:
    hosts_by_id = _hosts_by_id(checked)
    errors = []
    for source, service in checked.services_by_source.items():
        for target in service.targets_by_id.values():
            place = OptionPlace(source, f"target {target.target_id}")
            expected = {
                "role": (Role.AGENT, "host"),
                "zone": (target.zone, "zone"),
                "packets": (target.agent, "agent"),
            }
            errors += _compare_with_host(hosts_by_id, target.host_id, place, expected)
    return errors


def _compare_settings_with_hosts(checked: CheckedFiles) -> list[OptionError]:
    hosts_by_id = _hosts_by_id(checked)
    errors = []
    for source, settings in checked.settings_by_source.items():
        expected = {
            attribute: (getattr(settings, attribute), attribute)
            for attribute in ("role", "zone", "packets", "control")
        }
        place = OptionPlace(source, "process")
        errors += _compare_with_host(hosts_by_id, settings.host_id, place, expected)
    return errors


def _compare_with_host(
    hosts_by_id: dict[str, Host],
    host_id: str,
    place: OptionPlace,
    expected: dict[str, tuple[object, str]],
) -> list[OptionError]:
    """Return the conflicts between a file and the list of hosts.

    Parameters
    ----------
    place : Place
        Section that refers to the host.
    expected : dict
        Maps attributes of the host to the value that the section gives, and
        the option that an error names.
    """
    if not hosts_by_id:
        return []
    host = hosts_by_id.get(host_id)
    if host is None:
        hint = suggest_name(host_id, sorted(hosts_by_id))
        return [OptionError(*place, "host", f"{host_id!r} is not listed; {hint}")]
    errors = []
    for attribute, (value, option) in expected.items():
        listed = getattr(host, attribute)
        if listed != value:
            reason = f"{value} differs from {listed} in the list of hosts"
            errors.append(OptionError(*place, option, reason))
    return errors


def _compare_settings_with_services(checked: CheckedFiles) -> list[OptionError]:
    names = sorted(service.name for service in checked.services_by_source.values())
    if not names:
        return []
    errors = []
    for source, settings in checked.settings_by_source.items():
        for service in settings.listen_by_service:
            if service not in names:
                reason = f"no such service; {suggest_name(service, names)}"
                errors.append(OptionError(source, "listen", service, reason))
    return errors
