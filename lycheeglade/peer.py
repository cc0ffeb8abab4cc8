"""Requests to one peer over ``pynng``."""

from asyncio import CancelledError, current_task, timeout
from logging import DEBUG, getLogger

from pynng import NNGException, Req0

from lycheeglade.address import Address
from lycheeglade.errors import PacketError
from lycheeglade.gossip_message import (
    MAX_MESSAGE_BYTES,
    Message,
    Reply,
    decode_message,
    encode_message,
)
from lycheeglade.logs import log_event

logger = getLogger(__name__)

REQUEST_TIMEOUT_S = 1.0


async def ask_peer(peer: Address, message: Message) -> Reply | None:
    """Return the reply of the peer at a control address.

    Returns
    -------
    Reply or None
        None if there is no usable reply within `REQUEST_TIMEOUT_S`.
    """
    try:
        async with timeout(REQUEST_TIMEOUT_S):
            with Req0(recv_max_size=MAX_MESSAGE_BYTES) as socket:
                socket.dial(f"tcp://{peer}", block=False)
                await socket.asend(encode_message(message))
                reply = decode_message(await socket.arecv())
    except (TimeoutError, NNGException, PacketError) as error:
        log_event(logger, DEBUG, "peer-silent", peer=peer, cause=repr(error))
        reply = None
    raise_if_cancelled()
    return reply if isinstance(reply, Reply) else None


def raise_if_cancelled() -> None:
    """Cancel the present task if ``pynng`` has swallowed the request to.

    An operation that ends at the moment of its cancellation returns its
    result.
    """
    task = current_task()
    if task is not None and task.cancelling():
        raise CancelledError
