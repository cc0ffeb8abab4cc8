"""Records running daemons over sockets and replays the recordings."""

from asyncio import run, wait_for
from contextlib import ExitStack, closing
from json import loads
from socket import create_server
from threading import Thread

import pytest
from aiocoap import CHANGED, CONTENT, GET, POST, UNAUTHORIZED, Context, Message

from demo.cluster import Cluster, reserve_network_for_process
from demo.deployment import plan_deployment
from demo.examples import keep_subset, read_example
from lycheeglade.cmdline import main
from lycheeglade.recording import parse_recording

TIMEOUT_S = 30.0
SECRET = "projection-of-seat-rows"


class TraceCollector:
    """Receives the trace of one process over TCP."""

    def __init__(self):
        self._server = create_server(("127.0.0.1", 0))
        self.port = self._server.getsockname()[1]
        self.received = bytearray()
        self._thread = Thread(target=self._receive, daemon=True)
        self._thread.start()

    def _receive(self):
        connection, _ = self._server.accept()
        with closing(connection):
            while data := connection.recv(65536):
                self.received += data

    def finish(self):
        self._thread.join(TIMEOUT_S)
        self._server.close()
        return self.received.decode()


class TracedCluster(Cluster):
    """A cluster whose balancers and agents send their traces to collectors."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.collectors_by_host = {}

    def _start_daemon(self, role, host_id):
        collector = TraceCollector()
        self.collectors_by_host[host_id] = collector
        path = self._settings_by_host[host_id]
        target = f"127.0.0.1:{collector.port}"
        self.processes.start(
            host_id, "lycheeglade", role, "-c", str(path), "--trace", target
        )


async def start_request(client, cluster, code, path, request_id, **options):
    service = cluster.deployment.services[0]
    uri = f"coap://{service.address}/{path}?service={service.name}&id={request_id}"
    message = Message(code=code, uri=uri, **options.pop("fields", {}))
    if "echo" in options:
        message.opt.echo = options["echo"]
    return client.request(message)


async def exercise_cluster(cluster):
    client = await Context.create_client_context()
    try:
        request = await start_request(client, cluster, GET, "status", SECRET)
        answer = await wait_for(request.response, TIMEOUT_S)
        assert answer.code == CONTENT
        fields = {"payload": SECRET.encode()}
        request = await start_request(
            client, cluster, POST, "confirm", "r1", fields=fields
        )
        answer = await wait_for(request.response, TIMEOUT_S)
        assert answer.code == UNAUTHORIZED
        request = await start_request(
            client, cluster, POST, "confirm", "r1", fields=fields, echo=answer.opt.echo
        )
        assert (await wait_for(request.response, TIMEOUT_S)).code == CHANGED
        feed = await start_request(
            client, cluster, GET, "feed", "f1", fields={"observe": 0}
        )
        await wait_for(feed.response, TIMEOUT_S)
        notifications = aiter(feed.observation)
        for _ in range(3):
            await wait_for(anext(notifications), TIMEOUT_S)
        feed.observation.cancel()
    finally:
        await client.shutdown()


@pytest.fixture(scope="module")
def texts_by_host(tmp_path_factory):
    answers = keep_subset(read_example("reelbure"), 1, {"booth-sync": 1})
    deployment = plan_deployment(answers, reserve_network_for_process())
    cluster = TracedCluster(deployment, tmp_path_factory.mktemp("traced"))
    with ExitStack() as stack:
        stack.callback(cluster.stop)
        run(cluster.start())
        run(exercise_cluster(cluster))
        for host_id in cluster.collectors_by_host:
            cluster.processes.terminate(host_id)
        for host_id in cluster.collectors_by_host:
            assert cluster.processes.wait_end(host_id, TIMEOUT_S) is not None
    return {
        host_id: collector.finish()
        for host_id, collector in cluster.collectors_by_host.items()
    }


def test_replay_does_what_the_daemons_did(texts_by_host, tmp_path, capsys):
    assert len(texts_by_host) == 2
    for host_id, text in texts_by_host.items():
        path = tmp_path / f"{host_id}.trace"
        path.write_text(text)
        assert main(["replay", str(path)]) == 0
        (line,) = capsys.readouterr().out.splitlines()
        checked = len(text.splitlines()) - 1
        assert f"{path}: actions held (" in line
        assert f" {checked} lines checked" in line


def test_recordings_hold_what_passed_but_not_what_was_said(texts_by_host):
    kinds_by_role = {}
    for host_id, text in texts_by_host.items():
        recording = parse_recording(text, host_id)
        assert not recording.header.is_whole
        kinds = {loads(line)["kind"] for line in text.splitlines()}
        kinds_by_role[recording.header.role] = kinds
        datagrams = b"".join(
            each.line.datagram
            for each in recording.lines
            if hasattr(each.line, "datagram")
        )
        assert datagrams
        assert SECRET.encode() not in datagrams
    assert kinds_by_role["balancer"] == {
        *("recording", "view", "tick", "caller", "batch", "packet")
    }
    assert kinds_by_role["agent"] == {
        *("recording", "view", "tick", "packet", "from-upstream", "stop")
    }


def test_changed_action_of_a_daemon_is_caught(texts_by_host, tmp_path, capsys):
    text = next(text for text in texts_by_host.values() if '"role":"agent"' in text)
    lines = text.splitlines()
    number, line = next(
        (number, line)
        for number, line in enumerate(lines, 1)
        if '["upstream",' in line and '["count","flow",' in line
    )
    lines[number - 1] = line.replace('"opened"]', '"closed"]')
    path = tmp_path / "changed.trace"
    path.write_text("\n".join(lines))
    assert main(["replay", str(path)]) == 1
    first, *differences = capsys.readouterr().out.splitlines()
    assert first.startswith(f"{path}:{number}: actions BROKEN")
    assert [text.partition("d: ")[2] for text in differences] == [
        f'["count","flow","booth-sync","{cause}"]' for cause in ("closed", "opened")
    ]
