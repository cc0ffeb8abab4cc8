"""Serialized state of a flow, as a handoff transfers it to the successor."""

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from lycheeglade.served_target import (
    Feed,
    FlowRecord,
    ServedTarget,
)


class FeedState(Struct, frozen=True, array_like=True):
    """State of a feed that is handed to a successor.

    Attributes
    ----------
    in_flight : tuple or None
        Sequence number, message ID and datagram of the notification that
        awaits acknowledgement.
    """

    token: bytes
    registration: bytes
    sequence: int
    recent_items: tuple[bytes, ...]
    items: tuple[bytes, ...]
    latest: bytes
    in_flight: tuple[int, int, bytes] | None


class FlowState(Struct, frozen=True, array_like=True):
    """State of a flow that is handed to a successor."""

    balancer_ip: str
    balancer_port: int
    next_message_id: int
    executed_message_ids: tuple[int, ...]
    feeds: tuple[FeedState, ...]
    tickets: bytes


def export_flow(served: ServedTarget, record: FlowRecord, now: float) -> FlowState:
    """Return the state that the successor of a flow needs."""
    return FlowState(
        record.balancer.ip,
        record.balancer.port,
        record.next_message_id,
        tuple(record.executed_message_ids),
        tuple(_export_feed(feed) for feed in record.feeds_by_token.values()),
        served.ticket_registry.export_flow(record.flow, now),
    )


def _export_feed(feed: Feed) -> FeedState:
    in_flight = feed.in_flight
    return FeedState(
        feed.token,
        feed.registration,
        feed.sequence,
        tuple(feed.recent_items),
        tuple(feed.items),
        feed.latest,
        in_flight and (in_flight.sequence, in_flight.message_id, in_flight.datagram),
    )


_encoder = Encoder()
_decoder = Decoder(FlowState)


def encode_state(state: FlowState) -> bytes:
    """Return `state` as MessagePack."""
    return _encoder.encode(state)


def decode_state(state: bytes) -> FlowState:
    """Return the flow's state from its MessagePack form.

    Raises
    ------
    DecodeError, RecursionError
        `DECODE_ERRORS`, if `state` can't be decoded as a `FlowState`.
    """
    return _decoder.decode(state)
