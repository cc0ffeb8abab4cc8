"""Lookup of protocol adapters."""

from lycheeglade.coap import ADAPTER as COAP_ADAPTER
from lycheeglade.message import Adapter
from lycheeglade.view import Protocol

_ADAPTERS_BY_PROTOCOL: dict[Protocol, Adapter | None] = {
    Protocol.COAP: COAP_ADAPTER,
    Protocol.DATAGRAM: None,
}


def find_adapter(protocol: Protocol) -> Adapter | None:
    """Return the protocol's adapter, or None if datagrams are not parsed."""
    return _ADAPTERS_BY_PROTOCOL[protocol]
