"""Tests external authorisation over gRPC, with grpcio as an independent client and as the authoriser, and xDS files."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Iterator
from concurrent import futures
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import grpc
import h2.connection
import h2.errors
import h2.events
import h2.settings
import pytest
from envoy.config.core.v3 import base_pb2
from envoy.service.auth.v3 import external_auth_pb2, external_auth_pb2_grpc
from envoy.type.v3 import http_status_pb2
from google.rpc import status_pb2

from brackenpulley.address import ConfigError
from brackenpulley.authz import http2
from brackenpulley.authz.convert import decode_check_response
from brackenpulley.authz.front import Front, parse_timeout
from brackenpulley.core.message import MessageError
from brackenpulley.operator import AuthzClientOptions, OperatorOptions, decode, load

from .rig import RawConnection, Rig, rig
from .test_platform import GOOD, OK

CheckRequest, CheckResponse = external_auth_pb2.CheckRequest, external_auth_pb2.CheckResponse
SERVER_OPTIONS = {"authz": {"server": {"listen": "127.0.0.1:0"}}}


def make_check(number: int = 1, left: str = "9000m", **headers: str) -> Any:  # header names with _ for -
    request = CheckRequest()
    http = request.attributes.request.http
    http.id, http.method, http.path = f"{number:016x}", "GET", "/a/0000000000000007"
    found = {"x-request-id": f"{number:016x}", "x-priority-class": "a", "x-tariff": "p", "x-timeout": left, **headers}
    for name, value in found.items():
        if value:
            http.headers[name.replace("_", "-")] = value
    return request


@contextmanager
def open_stub(test_rig: Rig, count: int = 1) -> Iterator[Any]:
    assert test_rig.daemon.authz_front is not None and test_rig.daemon.authz_front.listener is not None
    port = test_rig.daemon.authz_front.listener.getsockname()[1]
    options = (("grpc.use_local_subchannel_pool", 1),)
    with grpc.insecure_channel(f"127.0.0.1:{port}", options) as channel:
        yield external_auth_pb2_grpc.AuthorizationStub(channel)


def wait_for_result(test_rig: Rig, call: Any) -> Any:
    """Return the response of a call, or the error that it ended with."""
    test_rig.run_until(call.done)
    return call.exception() or call.result()


def test_ok_names_the_endpoint_and_the_relay_ends_without_an_outcome() -> None:
    with rig(operator=SERVER_OPTIONS) as test_rig, open_stub(test_rig) as stub:
        before = test_rig.daemon.ingress.decision_module.rate_controllers["a"].mean_latency
        reply = wait_for_result(test_rig, stub.Check.future(make_check(), timeout=5))
        assert reply.status.code == 0
        header = reply.ok_response.headers[0].header
        assert (header.key, header.value) == ("x-envoy-original-dst-host", test_rig.servers["s-0"].address)
        decision_module = test_rig.daemon.ingress.decision_module
        assert (
            not decision_module.messages
            and not decision_module.servers["s-0"].relays
            and decision_module.rate_controllers["a"].mean_latency == before
        )
        assert not test_rig.daemon.ingress.exchanges and test_rig.servers["s-0"].try_accept() is None


def test_both_fronts_draw_on_one_quota() -> None:
    with rig(operator=SERVER_OPTIONS) as test_rig, open_stub(test_rig) as stub:  # the plan's burst is 10 units
        client = test_rig.send_request(1, more="X-Weight: units=4\r\n")  # firm 1, over HTTP/1.1
        _, server = test_rig.accept_relay()
        server.read_http()
        server.send(OK)  # its true cost is 3
        assert client.read_http()[0] == 200
        request = make_check(2, x_weight="units=6")
        request.attributes.request.http.path = "/a/0000000000000001"
        assert wait_for_result(test_rig, stub.Check.future(request, timeout=5)).status.code == 0
        request = make_check(3, x_weight="units=6")
        request.attributes.request.http.path = "/a/0000000000000001"
        denied = wait_for_result(test_rig, stub.Check.future(request, timeout=5))
        assert denied.status.code == http2.RESOURCE_EXHAUSTED and denied.denied_response.status.code == 429
        after = {h.header.key: h.header.value for h in denied.denied_response.headers}["retry-after"]
        assert 0 < float(after) <= 2.0
        other = test_rig.send_request(0x10)  # another firm has its own quota
        test_rig.run_until(lambda: test_rig.count("relays") == 3)
        other.close()


@pytest.mark.parametrize(
    ("request_", "status"),
    [
        (make_check(left="soon"), grpc.StatusCode.INVALID_ARGUMENT),
        (make_check(x_weight="units=x"), grpc.StatusCode.INVALID_ARGUMENT),
        (CheckRequest(), grpc.StatusCode.INVALID_ARGUMENT),
    ],
)
def test_malformed_checks(request_: Any, status: Any) -> None:
    with rig(operator=SERVER_OPTIONS) as test_rig, open_stub(test_rig) as stub:
        assert wait_for_result(test_rig, stub.Check.future(request_, timeout=5)).code() == status
        assert wait_for_result(test_rig, stub.Check.future(make_check(9), timeout=5)).status.code == 0


def call_raw(test_rig: Rig, method: str, data: bytes, **more: Any) -> Any:
    assert test_rig.daemon.authz_front is not None and test_rig.daemon.authz_front.listener is not None
    channel = grpc.insecure_channel(
        f"127.0.0.1:{test_rig.daemon.authz_front.listener.getsockname()[1]}", (("grpc.use_local_subchannel_pool", 1),)
    )
    call = channel.unary_unary(method, request_serializer=bytes, response_deserializer=bytes).future(
        data, timeout=5, **more
    )
    found = wait_for_result(test_rig, call)
    channel.close()
    return found


CHECK_PATH = "/envoy.service.auth.v3.Authorization/Check"


@pytest.mark.parametrize(
    ("method", "data", "more", "status"),
    [
        ("/other.Service/Check", b"", {}, grpc.StatusCode.UNIMPLEMENTED),
        (CHECK_PATH, b"\xff\xff\xff", {}, grpc.StatusCode.INVALID_ARGUMENT),
        (CHECK_PATH, b"x" * (200 << 10), {}, grpc.StatusCode.RESOURCE_EXHAUSTED),
        (
            CHECK_PATH,
            make_check().SerializeToString(),
            {"compression": grpc.Compression.Gzip},
            grpc.StatusCode.UNIMPLEMENTED,
        ),
    ],
)
def test_errors_have_their_grpc_status(method: str, data: bytes, more: Any, status: Any) -> None:
    with rig(operator=SERVER_OPTIONS) as test_rig:
        assert call_raw(test_rig, method, data, **more).code() == status
        assert test_rig.daemon.authz_front is not None and test_rig.daemon.authz_front.buffered_bytes == 0


def test_a_draining_endpoint_is_not_named() -> None:
    with rig(2, operator=SERVER_OPTIONS) as test_rig, open_stub(test_rig) as stub:
        test_rig.daemon.inventory.apply_object(test_rig.make_listing(s_0="DRAINING"))
        names = {
            wait_for_result(test_rig, stub.Check.future(make_check(n), timeout=5)).ok_response.headers[0].header.value
            for n in range(1, 7)
        }
        assert names == {test_rig.servers["s-1"].address}


def test_shutdown_completes_open_calls_and_refuses_new_ones() -> None:
    with (
        rig(
            operator={**CLIENT_OPTIONS, **{"authz": {**CLIENT_OPTIONS["authz"], **SERVER_OPTIONS["authz"]}}}
        ) as test_rig,
        open_stub(test_rig) as stub,
    ):
        silent = test_rig.counter  # accepts connections and never responds, so the authoriser stalls
        test_rig.daemon.authoriser.address = ("127.0.0.1", int(silent.address.rpartition(":")[2]))
        call = stub.Check.future(make_check(1), timeout=8)
        test_rig.run_until(lambda: bool(test_rig.daemon.ingress.exchanges))
        test_rig.daemon.loop.running = True
        test_rig.daemon.begin_shutdown()
        test_rig.advance_clock(0.6)
        assert test_rig.daemon.loop.running and not call.done()
        test_rig.advance_clock(6.0)
        assert wait_for_result(test_rig, call).denied_response.status.code == 503
        test_rig.run_until(lambda: test_rig.daemon.authz_front.connections == set())
        test_rig.advance_clock(0.1)
        assert not test_rig.daemon.loop.running


CLIENT_OPTIONS: dict[str, Any] = {"authz": {"client": {"address": "127.0.0.1:1", "timeout_ms": 5000}}}


class Authoriser(external_auth_pb2_grpc.AuthorizationServicer):  # type: ignore[misc]
    """An authoriser that returns a fixed reply or status, at once or when the test sets `release`."""

    def __init__(self, delay: float, reply: Any) -> None:
        self.reply, self.requests, self.release = reply, list[Any](), threading.Event()
        self.delay = delay
        self.cancelled = threading.Event()

    def Check(self, request: Any, context: Any) -> Any:  # noqa: N802 - the name in the service description
        self.requests.append(request)
        context.add_callback(lambda: self.cancelled.set() if not context.code() else None)
        if self.delay:  # until the test releases it
            self.release.wait(60)
        if isinstance(self.reply, grpc.StatusCode):
            context.abort(self.reply, "no")
        return self.reply


@contextmanager
def rig_with_authoriser(
    delay: float = 0.0, reply: Any = None, timeout_ms: int = 10_000, on_failure: str = "deny", **more: Any
) -> Iterator[tuple[Rig, Authoriser]]:
    stand_in = Authoriser(delay, CheckResponse() if reply is None else reply)
    server = grpc.server(futures.ThreadPoolExecutor(4))
    external_auth_pb2_grpc.add_AuthorizationServicer_to_server(stand_in, server)
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    part = {"address": f"127.0.0.1:{port}", "timeout_ms": timeout_ms, "on_failure": on_failure}
    try:
        with rig(operator={"authz": {"client": part}}, **more) as test_rig:
            yield test_rig, stand_in
    finally:
        stand_in.release.set()
        server.stop(None).wait()


def make_denial(status: int) -> Any:
    reply = CheckResponse(status=status_pb2.Status(code=7))
    reply.denied_response.status.CopyFrom(http_status_pb2.HttpStatus(code=status))
    reply.denied_response.body = "not you"
    reply.denied_response.headers.append(
        base_pb2.HeaderValueOption(header=base_pb2.HeaderValue(key="x-why", value="because"))
    )
    return reply


def test_a_denial_is_final_and_takes_no_quota() -> None:
    with rig_with_authoriser(reply=make_denial(403)) as (test_rig, stand_in):
        status, head, body = test_rig.send_request(1).read_http()
        assert (status, body) == (403, b"not you") and b"x-why: because" in head
        assert not test_rig.daemon.ingress.decision_module.firms and test_rig.count("relays") == 0
        http = stand_in.requests[0].attributes.request.http
        assert (http.id, http.method, http.path) == (f"{1:016x}", "GET", f"/a/{1:016x}?q=1")
        assert http.headers["x-priority-class"] == "a"


def test_an_allowed_message_goes_on_with_the_headers_that_were_added() -> None:
    reply = CheckResponse()
    for key, value in (("x-member", "firm-7"), ("x-request-id", "forged"), ("x-bad", "a\r\nx-evil: 1")):
        reply.ok_response.headers.append(base_pb2.HeaderValueOption(header=base_pb2.HeaderValue(key=key, value=value)))
    reply.ok_response.headers_to_remove.append("x-tariff")
    with rig_with_authoriser(reply=reply) as (test_rig, _):
        client = test_rig.send_request(1)
        _, server = test_rig.accept_relay()
        _, head, _ = server.read_http()
        assert b"x-member: firm-7\r\n" in head and b"evil" not in head and b"x-tariff" not in head
        assert b"x-request-id: 0000000000000001\r\n" in head  # the authoriser cannot replace the client's id
        server.send(OK)
        assert client.read_http()[0] == 200


# The client of load-sim has a deadline of 4 s and waits for half to all of it. Its own clock measures the time.
@pytest.mark.parametrize("on_failure", ["deny", "allow"])
@pytest.mark.parametrize(("delay", "wait"), [(0.0, 2.0), (0.5, 2.0), (1.9, 2.0), (2.5, 2.0), (10.0, 2.0), (10.0, 4.0)])
def test_however_long_the_authoriser_takes_one_answer_comes_in_time(delay: float, wait: float, on_failure: str) -> None:
    with rig_with_authoriser(delay, on_failure=on_failure) as (test_rig, stand_in):
        # The decision module has seen that the sim servers are fast.
        test_rig.daemon.ingress.decision_module.rate_controllers["a"].mean_latency = 0.01
        test_rig.freeze_clock()
        client = test_rig.send_request(1, timeout=f"{int(wait * 1000)}m")
        test_rig.run_until(lambda: bool(stand_in.requests))

        def is_received() -> bool:
            if wire := test_rig.servers["s-0"].try_accept():
                wire.read_http()
                wire.send(OK)
            return b"\r\n\r\n" in client.received or not client.receive()

        while test_rig.clock_offset < min(delay, wait) and not is_received():
            test_rig.step_clock(0.01)
        if test_rig.clock_offset >= delay:
            stand_in.release.set()
        test_rig.run_until(is_received)
        status, _, _ = client.read_http()
        assert test_rig.clock_offset < wait and status == (
            200 if delay < wait else 503 if on_failure == "deny" else 429
        )
        stand_in.release.set()  # a late reply arrives now and must be ignored
        client.send(b"GET /ready HTTP/1.1\r\n\r\n")
        assert client.read_http()[0] == 200 and client.received == b"" and not test_rig.daemon.ingress.exchanges


@pytest.mark.parametrize(("on_failure", "status"), [("deny", 503), ("allow", 200)])
@pytest.mark.parametrize("how", ["unreachable", "broken", "stalled", "status"])
def test_without_a_verdict_the_operators_setting_holds(how: str, on_failure: str, status: int) -> None:
    reply = grpc.StatusCode.INTERNAL if how == "status" else None
    with rig_with_authoriser(60.0 if how == "stalled" else 0.0, reply, 200, on_failure) as (test_rig, _):
        if how == "unreachable":
            test_rig.daemon.authoriser.address = ("127.0.0.1", 1)
        if how == "broken":
            test_rig.daemon.authoriser.address = test_rig.counter.sock.getsockname()
        client = test_rig.send_request(1)
        if how == "broken":
            test_rig.counter.accept().send(b"HTTP/1.1 400 This is no gRPC\r\n\r\n")
        if status == 200:
            _, server = test_rig.accept_relay()
            server.read_http()
            server.send(OK)
        assert client.read_http()[0] == status and test_rig.count("verdict_unknown") == 1


def test_a_client_that_disconnects_before_the_verdict_resets_the_call() -> None:
    with rig_with_authoriser(60.0) as (test_rig, stand_in):
        client = test_rig.send_request(1)
        test_rig.run_until(lambda: bool(stand_in.requests))
        client.close()
        test_rig.run_until(stand_in.cancelled.is_set)
        assert (
            not test_rig.daemon.ingress.exchanges
            and test_rig.count("gone") == 1
            and not test_rig.daemon.ingress.decision_module.firms
        )


def test_calls_in_flight_complete_after_goaway_and_the_next_call_uses_a_new_connection() -> None:
    with rig_with_authoriser(60.0) as (test_rig, stand_in):
        client = test_rig.send_request(1)
        test_rig.run_until(lambda: bool(stand_in.requests))
        connection = test_rig.daemon.authoriser.connection
        connection._on_goaway(http2.MAX_STREAM_ID)
        second = test_rig.send_request(2)
        test_rig.run_until(lambda: len(stand_in.requests) == 2)
        assert (
            test_rig.daemon.authoriser.connection is not connection and len(test_rig.daemon.authoriser.connections) == 2
        )
        stand_in.release.set()
        for _ in (client, second):
            _, server = test_rig.accept_relay()
            server.read_http()
            server.send(OK)
        assert [w.read_http()[0] for w in (client, second)] == [200, 200]
        test_rig.run_until(lambda: connection.transport.is_closed)


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("100m", 0.1),
        ("2S", 2.0),
        ("1H", 3600.0),
        ("5u", 5e-6),
        (None, 10.0),
        ("", None),
        ("1", None),
        ("-1S", None),
        ("123456789m", None),
    ],
)
def test_grpc_timeouts(text: str | None, seconds: float | None) -> None:
    if seconds is None:
        with pytest.raises(MessageError):
            parse_timeout(text)
    else:
        assert parse_timeout(text) == pytest.approx(seconds)


@pytest.mark.parametrize(
    ("data", "kind", "status"),
    [
        (b"", "allow", 0),
        (b"\xff", None, 0),
        (make_denial(401).SerializeToString(), "deny", 401),
        (make_denial(200).SerializeToString(), "deny", 403),
        (CheckResponse(status=status_pb2.Status(code=7)).SerializeToString(), "deny", 403),
    ],
)
def test_verdicts(data: bytes, kind: str | None, status: int) -> None:
    verdict = decode_check_response(data)
    assert (verdict and verdict.kind) == kind and (not verdict or verdict.status == status)


@pytest.mark.parametrize(
    ("data", "status"), [(b"", 3), (b"\0\0\0\0\2a", 3), (b"\0\0\0\0\1ab", 3), (b"\1\0\0\0\1a", 12)]
)
def test_framing(data: bytes, status: int) -> None:
    with pytest.raises(http2.FramingError) as error:
        http2.unframe_message(data)
    assert error.value.status == status


def test_the_operators_file_in_deploy_loads() -> None:
    operator = load(str(Path(__file__).parent.parent / "deploy" / "operator.toml"))
    assert (
        operator.server
        and operator.client == AuthzClientOptions(("127.0.0.1", 9292), 0.25, False)
        and operator.xds is None
    )


@pytest.mark.parametrize(
    ("raw_", "field"),
    [
        ({"authz": 3}, "authz: "),
        ({"other": {}}, "operator.other: "),
        ({"authz": {"server": {}}}, "authz.server.listen: "),
        ({"authz": {"server": {"listen": "x"}}}, "authz.server.listen: "),
        ({"authz": {"server": {"listen": "127.0.0.1:1", "endpoint_header": "a b"}}}, "authz.server.endpoint_header: "),
        ({"authz": {"client": {"address": "127.0.0.1:1", "on_failure": "maybe"}}}, "authz.client.on_failure: "),
        ({"authz": {"client": {"address": "127.0.0.1:1", "timeout_ms": 0}}}, "authz.client.timeout_ms: "),
        ({"xds": {"path": "x"}}, "xds.cluster: "),
    ],
)
def test_a_bad_operators_file_names_the_field(raw_: dict[str, Any], field: str) -> None:
    with pytest.raises(ConfigError) as error:
        decode(raw_)
    assert str(error.value).startswith(field) and decode({}) == OperatorOptions()


def make_endpoint(port: int, **more: Any) -> dict[str, Any]:
    return {"endpoint": {"address": {"socketAddress": {"address": "127.0.0.1", "portValue": port}}}, **more}


def make_discovery_response(version: str, *endpoints: dict[str, Any]) -> str:
    kind = "type.googleapis.com/envoy.config."
    return json.dumps(
        {
            "versionInfo": version,
            "resources": [
                {
                    "@type": kind + "cluster.v3.Cluster",
                    "name": "sims",
                    "type": "EDS",
                    "edsClusterConfig": {"serviceName": "eds"},
                    "transportSocket": {"name": "tls", "typedConfig": {"@type": "type.googleapis.com/not.known.Here"}},
                },
                {"@type": kind + "listener.v3.Listener", "name": "passed over"},
                {
                    "@type": kind + "endpoint.v3.ClusterLoadAssignment",
                    "clusterName": "eds",
                    "endpoints": [{"locality": {"zone": "hall-a"}, "lbEndpoints": list(endpoints)}],
                },
            ],
        }
    )


def replace_file(path: Path, text: str) -> None:
    fresh = path.with_suffix(".new")
    fresh.write_text(text)
    fresh.replace(path)


def test_clusters_and_endpoints_in_xds_form_fill_the_inventory(tmp_path: Path) -> None:
    path = tmp_path / "eds.json"
    started = {"filterMetadata": {"brackenpulley": {"startedAtMs": 5000, "cell": 2}}}
    replace_file(
        path,
        make_discovery_response(
            "3",
            make_endpoint(1, loadBalancingWeight=4, metadata=started),
            make_endpoint(2, healthStatus="DRAINING"),
            make_endpoint(3, healthStatus="UNHEALTHY"),
        ),
    )
    with rig(0, known={}, operator={"xds": {"path": str(path), "cluster": "sims"}}) as test_rig:
        servers = test_rig.daemon.ingress.decision_module.servers
        assert {k: s.entry.state for k, s in servers.items()} == {"127.0.0.1:1": "up", "127.0.0.1:2": "draining"}
        entry = servers["127.0.0.1:1"].entry
        assert (entry.zone, entry.size, entry.started, entry.cell) == ("hall-a", 4.0, 5.0, 2)
        replace_file(path, "{")  # an unusable file leaves the last valid list in force
        test_rig.advance_clock(0.3)
        assert test_rig.count("xds_errors") == 1 and test_rig.daemon.inventory.is_usable("127.0.0.1:1")
        replace_file(path, make_discovery_response("4", make_endpoint(1, healthStatus="DRAINING")))
        test_rig.advance_clock(0.3)
        assert not test_rig.daemon.inventory.is_usable("127.0.0.1:1") and test_rig.daemon.inventory.version == 4


def test_a_process_answers_checks_and_shuts_down_cleanly(tmp_path: Path) -> None:
    path, operator = tmp_path / "config.json", tmp_path / "operator.toml"
    known = {"generation": 1, "instances": [{"instanceId": "s", "hostPort": "127.0.0.1:9", "lifecycle": "SERVING"}]}
    path.write_text(json.dumps({**GOOD, "known": known}))
    operator.write_text('[authz.server]\nlisten = "127.0.0.1:0"\n')
    child = subprocess.Popen(
        [sys.executable, "-m", "brackenpulley", "serve", "--operator", str(operator)],
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "BALANCER_CONFIG": str(path)},
    )
    assert child.stdout is not None
    line = next(x for x in child.stdout if 'event="answering checks"' in x)
    with grpc.insecure_channel("127.0.0.1:" + line.strip().rsplit(":", 1)[1]) as channel:
        stub = external_auth_pb2_grpc.AuthorizationStub(channel)
        reply = stub.Check(make_check(), timeout=30)
        assert reply.ok_response.headers[0].header.value == "127.0.0.1:9"
        child.send_signal(signal.SIGTERM)
        assert child.wait(30) == 0
        assert "granted=1" in child.stdout.read()
    child.stdout.close()


class Http2Client:
    """An HTTP/2 client that breaks the protocol in ways that grpcio does not."""

    def __init__(self, test_rig: Rig, window: int = 65535) -> None:
        assert test_rig.daemon.authz_front is not None and test_rig.daemon.authz_front.listener is not None
        self.wire = RawConnection(
            test_rig, socket.create_connection(test_rig.daemon.authz_front.listener.getsockname())
        )
        self.h2, self.events = h2.connection.H2Connection(), list[Any]()
        self.h2.initiate_connection()
        self.h2.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: window})
        self.flush()

    def flush(self) -> None:
        self.wire.send(self.h2.data_to_send())

    def call(self, stream: int, body: bytes | None, left: str = "5S") -> None:
        self.h2.send_headers(
            stream,
            [
                (":method", "POST"),
                (":scheme", "http"),
                (":path", CHECK_PATH),
                (":authority", "a"),
                ("content-type", "application/grpc"),
                ("grpc-timeout", left),
            ],
        )
        if body is not None:
            self.h2.send_data(stream, http2.frame_message(body), end_stream=True)
        self.flush()

    def wait_for_event(self, kind: type, stream: int) -> Any:
        found: list[Any] = []

        def is_received() -> bool:
            more = self.wire.receive()
            data, self.wire.received = self.wire.received, b""
            self.events += self.h2.receive_data(data) if data else []
            self.flush()
            found.extend(e for e in self.events if isinstance(e, kind) and getattr(e, "stream_id", stream) == stream)
            return bool(found) or not more

        self.wire.rig.run_until(is_received)
        assert found, self.events
        return found[0]

    def read_grpc_status(self, stream: int, kind: type = h2.events.TrailersReceived) -> str:
        return http2.decode_headers(self.wait_for_event(kind, stream).headers)["grpc-status"]


def test_a_call_that_comes_in_too_slowly_ends_at_its_deadline() -> None:
    with rig(operator=SERVER_OPTIONS) as test_rig:
        slow = Http2Client(test_rig)
        slow.call(1, None, "100m")
        test_rig.run_until(lambda: test_rig.count("checks") == 1)
        test_rig.advance_clock(0.2)
        assert slow.read_grpc_status(1, h2.events.ResponseReceived) == "4"
        slow.call(3, make_check(3).SerializeToString())
        assert slow.read_grpc_status(3) == "0"


def test_an_answer_blocked_by_flow_control_is_reset_at_its_deadline() -> None:
    with rig(operator=SERVER_OPTIONS) as test_rig:
        tight = Http2Client(test_rig, window=0)
        tight.call(1, make_check(1).SerializeToString(), "5S")
        tight.call(3, make_check(3).SerializeToString(), "9S")
        test_rig.run_until(lambda: test_rig.count("granted") == 2)
        test_rig.advance_clock(5.1)
        assert tight.wait_for_event(h2.events.StreamReset, 1).error_code == h2.errors.ErrorCodes.CANCEL
        tight.h2.increment_flow_control_window(1000, 3)
        tight.flush()
        assert tight.read_grpc_status(3) == "0" and test_rig.daemon.authz_front.connections
        test_rig.run_until(lambda: not next(iter(test_rig.daemon.authz_front.connections)).calls)


def test_streams_over_the_limit_are_refused_one_by_one() -> None:
    with rig(operator={"authz": {"server": {"listen": "127.0.0.1:0", "max_streams": 1}}}) as test_rig:
        eager = Http2Client(test_rig)
        eager.call(1, None)
        eager.call(3, make_check(3).SerializeToString())  # sent before the client has received the limit
        assert eager.wait_for_event(h2.events.StreamReset, 3).error_code == h2.errors.ErrorCodes.REFUSED_STREAM
        eager.h2.send_data(1, http2.frame_message(make_check(1).SerializeToString()), end_stream=True)
        eager.flush()
        assert eager.read_grpc_status(1) == "0"


def test_after_goaway_new_streams_are_refused_and_old_ones_finished() -> None:
    with rig(operator=SERVER_OPTIONS) as test_rig:
        client = Http2Client(test_rig)
        client.call(1, None)
        test_rig.run_until(lambda: test_rig.count("checks") == 1)
        test_rig.daemon.authz_front.drain()
        client.h2.send_headers(
            3, [(":method", "POST"), (":scheme", "http"), (":path", CHECK_PATH), (":authority", "a")]
        )
        client.h2.send_data(1, http2.frame_message(make_check(1).SerializeToString()), end_stream=True)
        client.flush()
        client.wire.wait_closed()
        frames, _ = http2.split_frames(client.wire.received)
        assert [f[3] for f in frames if f[3] in (3, 7)] == [7, 3]  # GOAWAY, then RST_STREAM of stream 3
        assert any(f[3] == 0 and int.from_bytes(f[5:9], "big") == 1 for f in frames)  # stream 1 has its answer
        assert not test_rig.daemon.authz_front.connections


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n" + b"x" * 24,
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\xff" * 20,
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\0\0\4\1\5\0\0\0\1\xff\xff\xff\xff",
    ],
)
def test_malformed_http2_closes_only_its_own_connection(data: bytes) -> None:
    with rig(operator=SERVER_OPTIONS) as test_rig, open_stub(test_rig) as stub:
        listener = test_rig.daemon.authz_front.listener
        assert listener is not None
        wire = RawConnection(test_rig, socket.create_connection(listener.getsockname()))
        assert wire.send(data).wait_closed()
        assert wait_for_result(test_rig, stub.Check.future(make_check(), timeout=5)).status.code == 0


def test_a_cancelled_check_cancels_the_pending_verdict() -> None:
    with rig_with_authoriser(60.0) as (test_rig, stand_in):
        daemon = test_rig.daemon
        daemon.authz_front = Front(
            daemon.loop, daemon.pool, daemon.ingress, daemon.inventory, daemon.metrics, "x-endpoint", 8
        )
        test_rig.daemon.authz_front.listen(("127.0.0.1", 0))
        with open_stub(test_rig) as stub:
            call = stub.Check.future(make_check(), timeout=60)
            test_rig.run_until(lambda: bool(stand_in.requests))
            call.cancel()
            test_rig.run_until(stand_in.cancelled.is_set)
        assert test_rig.count("check_cancelled") == 1 and not test_rig.daemon.ingress.exchanges


def test_a_connection_without_responses_gets_no_further_calls() -> None:
    with rig_with_authoriser(timeout_ms=1000) as (test_rig, stand_in):
        real, test_rig.daemon.authoriser.address = (
            test_rig.daemon.authoriser.address,
            test_rig.counter.sock.getsockname(),
        )
        first = test_rig.send_request(1)
        unanswered = test_rig.counter.accept()
        test_rig.run_until(lambda: test_rig.count("asks") == 1)
        test_rig.advance_clock(1.1)
        assert first.read_http()[0] == 503
        test_rig.daemon.authoriser.address = real
        second = test_rig.send_request(2)
        _, server = test_rig.accept_relay()
        server.read_http()
        server.send(OK)
        assert second.read_http()[0] == 200 and len(stand_in.requests) == 1 and unanswered.wait_closed()
