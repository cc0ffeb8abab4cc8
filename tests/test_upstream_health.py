"""Tests that an upstream that answers pings but no requests is down."""

from random import Random

import pytest
from aiocoap import Code, Message, Type

from lycheeglade.agent import (
    make_agent,
    receive_datagram,
    receive_from_upstream,
    tick,
    update_view,
)
from lycheeglade.upstream_health import HOLD_DOWN_S, MIN_STALL_S, STALL_GAP_FACTOR
from tests.agents import (
    BALANCER,
    LOCAL_ZONE,
    TARGET_KEY,
    ActionRecorder,
    make_get_request,
    make_view,
)
from tests.test_agent import forward

STEP_S = 0.05


class Upstream:
    """Upstream of one agent, which answers pings and optionally requests."""

    def __init__(self):
        self.recorder = ActionRecorder()
        self.agent = make_agent(
            "h1", LOCAL_ZONE, self.recorder.actions(), Random(1), 9, 0.0
        )
        update_view(self.agent, make_view(), 0.0)
        self.served = self.agent.served_by_key[TARGET_KEY]
        self.now = 0.0
        self.seen = 0
        self.waiting = []

    def request(self, message_id):
        receive_datagram(
            self.agent, forward(make_get_request(message_id)), BALANCER, self.now
        )

    def run(self, seconds, work_s=None):
        """Advance the time and answer each request `work_s` after it came.

        Without `work_s`, only pings are answered.
        """
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            tick(self.agent, self.now)
            for _, datagram in self.recorder.upstream[self.seen :]:
                message = Message.decode(datagram)
                if message.code is Code.EMPTY:
                    self.answer(Message(code=Code.EMPTY), Type.RST, message)
                else:
                    self.waiting.append((self.now, message))
            self.seen = len(self.recorder.upstream)
            if work_s is not None:
                for since, message in list(self.waiting):
                    if self.now >= since + work_s:
                        self.waiting.remove((since, message))
                        answer = Message(code=Code.CONTENT, payload=b"x")
                        self.answer(answer, Type.ACK, message)

    def answer(self, answer, kind, message):
        answer.mtype, answer.mid, answer.token = kind, message.mid, message.token
        receive_from_upstream(self.agent, TARGET_KEY, None, answer.encode(), self.now)


@pytest.fixture
def upstream():
    return Upstream()


def test_upstream_that_answers_pings_only_is_down_for_a_pause(upstream):
    upstream.request(1)
    upstream.run(0.2, work_s=0.1)
    upstream.request(2)
    upstream.run(MIN_STALL_S + 2 * STEP_S)
    assert upstream.served.is_down
    upstream.run(HOLD_DOWN_S - 1.0)
    assert upstream.served.is_down
    upstream.run(2.0)
    assert not upstream.served.is_down
    upstream.request(3)
    upstream.run(MIN_STALL_S + 2 * STEP_S)
    assert upstream.served.is_down
    upstream.run(2 * HOLD_DOWN_S - 1.0)
    assert upstream.served.is_down


def test_upstream_that_serves_again_is_up_and_its_pause_is_forgotten(upstream):
    upstream.request(1)
    upstream.run(0.2, work_s=0.1)
    upstream.request(2)
    upstream.run(MIN_STALL_S + HOLD_DOWN_S + 1.0)
    assert not upstream.served.is_down
    upstream.request(3)
    upstream.run(0.2, work_s=0.1)
    assert not upstream.served.is_down
    assert upstream.served.hold_down_s == 0.0


def test_upstream_whose_work_takes_long_is_not_mute(upstream):
    work_s = 2 * MIN_STALL_S
    upstream.request(1)
    upstream.run(work_s + 1.0, work_s=work_s)
    assert not upstream.served.is_down
    upstream.request(2)
    upstream.run(STALL_GAP_FACTOR * work_s - 1.0)
    assert not upstream.served.is_down
