"""Upstream of a service whose datagrams are forwarded unparsed."""

from asyncio import DatagramProtocol

from demo.journal import Journal


class Echo(DatagramProtocol):
    """Returns every datagram to its sender."""

    def __init__(self, service: str, journal_path: str | None):
        self._service = service.encode()
        self._journal = Journal(journal_path)
        self._transport = None

    def connection_made(self, transport):
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, datagram, remote):
        """Return a datagram; journal it if it names another service."""
        name, separator, _rest = datagram.partition(b" ")
        if separator and name.startswith(b"service="):
            requested_service = name.removeprefix(b"service=")
            if requested_service != self._service:
                self._journal.add("wrong", requested_service.decode(errors="replace"))
        self._transport.sendto(datagram, remote)
