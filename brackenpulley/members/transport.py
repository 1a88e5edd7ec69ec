"""Datagrams and streams of one member on the daemon's loop. Owns its two sockets and every stream's connection.

Both stand at one address and port. A stream carries one message: four bytes of length, then the sealed bytes; an answer
goes over a connection of its own. What is not ours is counted by cause and dropped, and nobody is answered for it."""

from __future__ import annotations

import contextlib
import random
import socket
from collections.abc import Callable
from typing import Any

from ..address import Address, ConfigError, parse_address
from ..metrics import Metrics
from ..net import sockets
from ..net.loop import READ, WRITE, Loop, Timer
from .keys import KeyRing, PacketError, Replays
from .protocol import Changed, Effect, Protocol, Send, Timing
from .station import Station
from .wire import LARGEST, Carry, Digest, Envelope, Message, Records, Sync, kind_of, seal, unseal

STREAM = 1 << 20  # bytes of a stream's message
STREAMS, PATIENCE = 64, 2.0  # at once, and s for each
READS_A_TURN = 64
LENGTH = 4


def text(at: Address) -> str:
    return f"[{at[0]}]:{at[1]}" if ":" in at[0] else f"{at[0]}:{at[1]}"


class Stream:
    """One connection, for one message in one direction."""

    def __init__(self, service: MemberService, sock: socket.socket, data: bytes = b"") -> None:
        self.service, self.sock, self.out = service, sock, data
        self.sending, self.up = bool(data), not data
        self.seen = b""
        service.loop.register(sock, WRITE if data else READ, self._event)
        self.timer: Timer = service.loop.call_in(PATIENCE, self.close)
        service.streams.add(self)

    def _event(self, events: int) -> None:
        try:
            if self.sending:
                if not self.up and sockets.connect_error(self.sock):
                    raise OSError("connect")
                self.up = True
                self.out = self.out[self.sock.send(self.out) :]
                if not self.out:
                    self.close()
                return
            data = self.sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            self.service.metrics.add("members_streams_broken")
            self.close()
            return
        self.seen += data
        size = int.from_bytes(self.seen[:LENGTH], "big") if len(self.seen) >= LENGTH else 0
        if size > STREAM:
            self.service.dropped("too_long")
            self.close()
        elif size and len(self.seen) >= LENGTH + size:
            body = self.seen[LENGTH : LENGTH + size]
            self.close()
            self.service.opened(body, "", STREAM)
        elif not data:
            self.service.dropped("truncated")
            self.close()

    def close(self) -> None:
        """The one place where a stream's connection is given back."""
        if self in self.service.streams:
            self.service.streams.discard(self)
            self.timer.cancel()
            self.service.loop.set_interest(self.sock, 0, lambda events: None)
            self.sock.close()


class MemberService:
    def __init__(
        self,
        loop: Loop,
        ring: KeyRing,
        ident: str,
        life: int,
        seeds: list[str],
        metrics: Metrics,
        log: Any,
        changed: Callable[[Changed], None],
        timing: Timing | None = None,
    ) -> None:
        """`life` grows with each start under the same name (Unix ms will do): older packets are replays."""
        self.loop, self.ring, self.id, self.life, self.seeds = loop, ring, ident, life, seeds
        self.metrics, self.log, self.changed, self.timing = metrics, log, changed, timing or Timing()
        self.station: Station | None = None
        self.replays = Replays()
        self.streams: set[Stream] = set()
        self._number = 0
        self._source = ""
        self._datagrams: socket.socket | None = None
        self._listener: socket.socket | None = None
        self._timer: Timer | None = None
        self._due = 0.0

    def listen(self, at: Address, advertise: str = "") -> Address:
        """Raises OSError. With port 0 both sockets take the same free one. `advertise`: where others reach it, if
        not there; its streams come from the address where it listens then."""
        self._listener = sockets.listen(at, STREAMS)
        host, port = self._listener.getsockname()[:2]
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._datagrams = socket.socket(family, socket.SOCK_DGRAM)
        self._datagrams.setblocking(False)
        try:
            self._datagrams.bind((host, port))
        except OSError:
            self.stop()
            raise
        self._source = host if advertise else ""
        self.station = Station(
            self.id, advertise or text((host, port)), random.Random(), self.loop.clock(), self.timing
        )
        self.loop.register(self._datagrams, READ, self._readable)
        self.loop.register(self._listener, READ, self._acceptable)
        self._do(self.station.join(self.seeds))
        return host, port

    @property
    def protocol(self) -> Protocol | None:
        return None if self.station is None else self.station.protocol

    def _readable(self, events: int) -> None:
        for _ in range(READS_A_TURN):
            if self._datagrams is None:
                return
            try:
                data, source = self._datagrams.recvfrom(LARGEST + 1)
            except BlockingIOError:
                return
            except OSError:  # an earlier datagram met a closed port; the probe will tell
                continue
            self.opened(data, text((source[0], source[1])), LARGEST)

    def _acceptable(self, events: int) -> None:
        assert self._listener is not None
        try:
            sock = sockets.accept(self._listener)
        except OSError:
            return
        if len(self.streams) >= STREAMS:
            self.metrics.add("members_streams_full")
            sock.close()
            return
        Stream(self, sock)

    def opened(self, data: bytes, source: str, most: int) -> None:
        """Bytes that arrived, from a datagram's source or over a stream, whose sender names its own address."""
        try:
            envelope = unseal(data, self.ring, most)
        except PacketError as error:
            self.dropped(error.cause)
            return
        if self.station is None or envelope.sender == self.id:
            return
        if not self.replays.fresh(envelope.sender, envelope.life, envelope.number):
            self.dropped("replayed")
            return
        body = envelope.body
        if not source and isinstance(body, Sync) and body.updates:
            source = body.updates[0].address
        elif not source and not isinstance(body, Records | Digest | Carry):
            self.dropped("malformed")
            return
        self.metrics.add("members_heard")
        self._counted("heard", body, len(data))
        self._do(self.station.receive(self.loop.clock(), source, body))

    def _counted(self, way: str, body: Message, size: int) -> None:
        """By kind: messages, and bytes as sealed, without the headers of the network below."""
        kind = kind_of(body)
        if isinstance(body, Carry) and (self.station is None or body.kind not in self.station.parts):
            kind = "carry"  # against as many counters as a stranger's version has parts
        self.metrics.add(f"members_{way}_{kind}")
        self.metrics.add(f"members_{way}_{kind}_bytes", size)

    def dropped(self, cause: str) -> None:
        self.metrics.add("members_dropped_" + cause)

    def _do(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Changed):
                self.log.info("member", id=effect.id, address=effect.address, state=effect.state)
                self.changed(effect)
            else:
                self._send(effect)
        self._wake()

    def _send(self, send: Send) -> None:
        try:
            at = parse_address(send.to, "member")
        except ConfigError:
            self.dropped("address")
            return
        data = self._sealed(send.body)
        self._counted("sent", send.body, len(data))
        if not send.stream:
            self.metrics.add("members_sent")
            with contextlib.suppress(OSError):  # a datagram may be lost anywhere; here as well
                if self._datagrams is not None:
                    self._datagrams.sendto(data, at)
            return
        if len(self.streams) >= STREAMS:
            self.metrics.add("members_streams_full")
            return
        try:
            Stream(self, sockets.connect(at, self._source), len(data).to_bytes(LENGTH, "big") + data)
        except OSError:
            self.metrics.add("members_streams_broken")

    def _sealed(self, body: Message) -> bytes:
        self._number += 1
        return seal(Envelope(self.id, self.life, self._number, body), self.ring)

    def _wake(self) -> None:
        assert self.station is not None
        due = self.station.next_tick()
        if self._timer is not None:
            if self._due <= due:
                return
            self._timer.cancel()
        self._due, self._timer = due, self.loop.call_at(due, self._tick)

    def _tick(self) -> None:
        self._timer = None
        if self.station is not None:
            self._do(self.station.tick(self.loop.clock()))

    def said(self) -> None:
        """A part has something to say that no message and no time brought about."""
        if self.station is not None:
            self._do(self.station.said())

    def join(self, seeds: list[str]) -> None:
        if self.station is not None:
            self._do(self.station.join(seeds))

    def leave(self) -> None:
        """Tell the others; `stop` may follow once the datagrams are out."""
        if self.station is not None:
            self._do(self.station.leave())

    def status(self) -> dict[str, Any]:
        protocol = self.protocol
        if protocol is None:
            return {"id": self.id, "members": 0}
        return {
            "id": self.id,
            "address": protocol.address,
            "incarnation": protocol.incarnation,
            "members": protocol.size,
            "score": protocol.awareness.score,
            "keys": self.ring.marks,
            "others": {m.id: m.state for m in protocol.members.values()},
        }

    def stop(self) -> None:
        for stream in list(self.streams):
            stream.close()
        for sock in (self._datagrams, self._listener):
            if sock is not None:
                self.loop.set_interest(sock, 0, lambda events: None)
                sock.close()
        self._datagrams = self._listener = self.station = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
