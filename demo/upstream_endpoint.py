"""CoAP endpoint of an upstream that can stop answering its callers."""

from enum import StrEnum

from aiocoap import EMPTY, Message
from aiocoap.error import Error as CoapError

from demo.coap import Endpoint

UNMUTED_PATHS = ("health", "load", "account", "fault")


class MuteMode(StrEnum):
    """Messages that stay unanswered, apart from those to `UNMUTED_PATHS`."""

    NOTHING = "nothing"
    REQUESTS = "requests"
    EVERYTHING = "everything"


class UpstreamEndpoint(Endpoint):
    """Endpoint that can be muted; with `REQUESTS` it still answers pings."""

    mute = MuteMode.NOTHING

    def datagram_received(self, datagram, remote):
        """Process a received datagram unless it must stay unanswered."""
        if self.mute is MuteMode.NOTHING or self._is_unmuted(datagram):
            super().datagram_received(datagram, remote)

    def send_confirmable(self, *arguments, **options):
        """Send a message, such as a notification, unless muted."""
        if self.mute is MuteMode.NOTHING:
            super().send_confirmable(*arguments, **options)

    def _retransmit(self, key, exchange):
        if self.mute is MuteMode.NOTHING:
            super()._retransmit(key, exchange)
        else:
            self.stop_retransmission(*key)

    def reply(self, request, remote, response):
        """Answer a request, unless muted after the request arrived."""
        if self.mute is MuteMode.NOTHING or get_path(request) in UNMUTED_PATHS:
            super().reply(request, remote, response)

    def _is_unmuted(self, datagram) -> bool:
        try:
            message = Message.decode(datagram)
        except (CoapError, ValueError, IndexError):
            return False
        if message.code == EMPTY:
            return self.mute is MuteMode.REQUESTS
        return get_path(message) in UNMUTED_PATHS


def get_path(request: Message) -> str:
    """Return the path of a request."""
    return "/".join(request.opt.uri_path)
