"""Finds the adapter of a service's protocol."""

from lycheeglade.coap import ADAPTER as COAP_ADAPTER
from lycheeglade.message import Adapter
from lycheeglade.view import Protocol

_ADAPTERS_BY_PROTOCOL: dict[Protocol, Adapter | None] = {
    Protocol.COAP: COAP_ADAPTER,
    Protocol.DATAGRAM: None,
}


def find_adapter(protocol: Protocol) -> Adapter | None:
    """Return the adapter, or None if the datagrams are carried unread."""
    return _ADAPTERS_BY_PROTOCOL[protocol]
