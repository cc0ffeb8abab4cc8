"""Sends requests to a peer over ``pynng``."""

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
    """Send a message to a peer's control address and return the reply.

    Returns
    -------
    Reply or None
        None if no valid reply arrives within `REQUEST_TIMEOUT_S` seconds.
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
    """Raise CancelledError if ``pynng`` has lost a cancellation of this task.

    A ``pynng`` operation that completes while it is being cancelled returns
    its result and doesn't raise.
    """
    task = current_task()
    if task is not None and task.cancelling():
        raise CancelledError
