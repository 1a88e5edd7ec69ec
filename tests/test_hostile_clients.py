"""Clients that send or hold more than usual ones, over real sockets: what is kept for them, and what others see."""

from __future__ import annotations

import tracemalloc

from brackenpulley.net.north import MAX_QUEUED_REQUESTS

from .rig import Rig, rig

REQUESTS_AT_ONCE = 300
CONNECTIONS = 40


def encode_get(ident: int, firm: int = 1, more: str = "") -> bytes:
    """Encode a request without a body."""
    return (
        f"GET /a/{firm:016x} HTTP/1.1\r\nHost: h\r\nX-Request-ID: {ident:016x}\r\nX-Priority-Class: a\r\n"
        f"X-Tariff: p\r\nX-Timeout: 9000m\r\n{more}\r\n"
    ).encode()


def read_statuses(harness: Rig, data: bytes) -> list[int]:
    """Send `data` on one connection and return the statuses of all its answers."""
    wire = harness.connect().send(data)
    assert wire.wait_closed()
    return [int(part[:3]) for part in wire.received.split(b"HTTP/1.1 ")[1:]]


def test_hundreds_of_requests_in_one_write_are_all_rejected() -> None:
    """Guards against requests that are read, not kept and never answered."""
    with rig() as harness:
        statuses = read_statuses(harness, b"".join(encode_get(n) for n in range(1, REQUESTS_AT_ONCE + 1)))
        assert statuses == [400] * REQUESTS_AT_ONCE and harness.count("relays") == 0


def test_a_connection_that_sends_hundreds_of_requests_at_once_holds_few_of_them() -> None:
    """Guards against review case 10: all requests of a read were kept, 1.4 KB of objects for each of 200 bytes."""
    with rig() as harness:
        data = b"".join(encode_get(n) for n in range(1, REQUESTS_AT_ONCE + 1))
        wires = [harness.connect() for _ in range(CONNECTIONS)]
        harness.run_until(lambda: len(harness.daemon.north.clients) == CONNECTIONS)
        tracemalloc.start()
        try:
            before = tracemalloc.get_traced_memory()[0]
            for wire in wires:
                wire.sock.send(data)
            harness.run_once()
            held = tracemalloc.get_traced_memory()[1] - before
        finally:
            tracemalloc.stop()
        assert all(len(client.reader.complete) <= MAX_QUEUED_REQUESTS for client in harness.daemon.north.clients)
        assert held < CONNECTIONS * 64 * 1024, f"{held / CONNECTIONS / 1024:.0f} KB a connection"
