from random import Random

import pytest
from aiocoap import Code, Message, Type

from lycheeglade.flow import FlowKey
from lycheeglade.replay_caller import Caller, receive, send_request


@pytest.mark.parametrize(
    ("code", "refusals"),
    [(Code.TOO_MANY_REQUESTS, []), (Code.SERVICE_UNAVAILABLE, [1.0])],
)
def test_caller_comes_back_when_it_is_told_to(code, refusals):
    # A refusal must not be counted as a wrong answer.
    sent, timers = [], []
    caller = Caller(
        FlowKey("s", "127.9.0.1", 4000),
        10.0,
        Random(1),
        lambda caller, datagram: sent.append(Message.decode(datagram)),
        lambda due, action: timers.append((due, action)),
        lambda caller: None,
    )
    send_request(caller, "r1", True, 1, 0.0)
    answer = Message(code=code, max_age=3)
    answer.mtype, answer.mid, answer.token = Type.ACK, sent[0].mid, sent[0].token
    receive(caller, answer.encode(), 1.0)
    scheduled = len(timers)
    receive(caller, answer.encode(), 1.1)
    # A duplicate of the refusal must not schedule a second retry.
    assert len(timers) == scheduled
    assert caller.misdelivered == []
    assert caller.requests[0].refusals == refusals
    due, retry = timers[-1]
    retry(due)
    assert due == 4.0
    assert [message.payload for message in sent] == [b"r1", b"r1"]
