"""Datagrams and streams of one member on the daemon's event loop; owns both listening sockets and all connections.

Both sockets share one address and port. A stream carries one message: a length of four bytes, then the sealed packet. A
reply is sent over a connection of its own. Invalid packets are counted by cause and dropped without an answer. Used by
`service`."""

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
from .keys import KeyRing, PacketError, ReplayWindow
from .protocol import Changed, Effect, Protocol, Send, Timing
from .station import Station
from .wire import MAX_DATAGRAM_BYTES, Carry, Digest, Envelope, Message, Records, Sync, message_kind, seal, unseal

MAX_STREAM_BYTES = 1 << 20  # of a stream's message
MAX_STREAMS = 64  # open at once
STREAM_TIMEOUT_S = 2.0
MAX_READS_PER_EVENT = 64  # datagrams
LENGTH_BYTES = 4  # of the length prefix of a stream


def format_address(address: Address) -> str:
    """Return an address as text, an IPv6 host in brackets."""
    return f"[{address[0]}]:{address[1]}" if ":" in address[0] else f"{address[0]}:{address[1]}"


class Stream:
    """One connection, for one message in one direction."""

    def __init__(self, service: MemberService, sock: socket.socket, data: bytes = b"") -> None:
        self.service, self.sock, self.outgoing = service, sock, data
        self.is_sending, self.is_connected = bool(data), not data
        self.received = b""
        service.loop.register(sock, WRITE if data else READ, self._handle_event)
        self.timer: Timer = service.loop.call_in(STREAM_TIMEOUT_S, self.close)
        service.streams.add(self)

    def _handle_event(self, events: int) -> None:
        try:
            if self.is_sending:
                if not self.is_connected and sockets.connect_error(self.sock):
                    raise OSError("connection failed")
                self.is_connected = True
                self.outgoing = self.outgoing[self.sock.send(self.outgoing) :]
                if not self.outgoing:
                    self.close()
                return
            data = self.sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            self.service.metrics.add("members_streams_broken")
            self.close()
            return
        self.received += data
        size = int.from_bytes(self.received[:LENGTH_BYTES], "big") if len(self.received) >= LENGTH_BYTES else 0
        if size > MAX_STREAM_BYTES:
            self.service.count_drop("too_long")
            self.close()
        elif size and len(self.received) >= LENGTH_BYTES + size:
            body = self.received[LENGTH_BYTES : LENGTH_BYTES + size]
            self.close()
            self.service.receive_packet(body, "", MAX_STREAM_BYTES)
        elif not data:
            self.service.count_drop("truncated")
            self.close()

    def close(self) -> None:
        """Close the connection; all paths that end a stream call this."""
        if self in self.service.streams:
            self.service.streams.discard(self)
            self.timer.cancel()
            self.service.loop.set_interest(self.sock, 0, lambda events: None)
            self.sock.close()


class MemberService:
    """Drives a `Station` on sockets."""

    def __init__(
        self,
        loop: Loop,
        ring: KeyRing,
        ident: str,
        generation: int,
        seeds: list[str],
        metrics: Metrics,
        log: Any,
        on_change: Callable[[Changed], None],
        timing: Timing | None = None,
    ) -> None:
        """`generation` grows with each start under the same name, for example Unix time in ms.

        Packets of an earlier generation are dropped as replays."""
        self.loop, self.ring, self.id, self.generation, self.seeds = loop, ring, ident, generation, seeds
        self.metrics, self.log, self.on_change, self.timing = metrics, log, on_change, timing or Timing()
        self.station: Station | None = None
        self.replay_window = ReplayWindow()
        self.streams: set[Stream] = set()
        self._packet_number = 0
        self._source_host = ""
        self._datagram_socket: socket.socket | None = None
        self._listener: socket.socket | None = None
        self._timer: Timer | None = None
        self._timer_at = 0.0

    def listen(self, address: Address, advertise: str = "") -> Address:
        """Open both sockets, join through the seeds and return the address in use. Raises OSError.

        With port 0 both sockets use the same free port. `advertise` is the address under which other members reach this
        one, if it is another; streams are then opened from the listening address."""
        self._listener = sockets.listen(address, MAX_STREAMS)
        host, port = self._listener.getsockname()[:2]
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._datagram_socket = socket.socket(family, socket.SOCK_DGRAM)
        self._datagram_socket.setblocking(False)
        try:
            self._datagram_socket.bind((host, port))
        except OSError:
            self.stop()
            raise
        self._source_host = host if advertise else ""
        self.station = Station(
            self.id, advertise or format_address((host, port)), random.Random(), self.loop.clock(), self.timing
        )
        self.loop.register(self._datagram_socket, READ, self._read_datagrams)
        self.loop.register(self._listener, READ, self._accept_stream)
        self._apply_effects(self.station.join(self.seeds))
        return host, port

    @property
    def protocol(self) -> Protocol | None:
        """The protocol of the station; None while it does not listen."""
        return None if self.station is None else self.station.protocol

    def _read_datagrams(self, events: int) -> None:
        for _ in range(MAX_READS_PER_EVENT):
            if self._datagram_socket is None:
                return
            try:
                data, source = self._datagram_socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:  # an earlier datagram met a closed port, which a probe will detect
                continue
            self.receive_packet(data, format_address((source[0], source[1])), MAX_DATAGRAM_BYTES)

    def _accept_stream(self, events: int) -> None:
        assert self._listener is not None
        try:
            sock = sockets.accept(self._listener)
        except OSError:
            return
        if len(self.streams) >= MAX_STREAMS:
            self.metrics.add("members_streams_full")
            sock.close()
            return
        Stream(self, sock)

    def receive_packet(self, data: bytes, source: str, max_bytes: int) -> None:
        """Handle a packet; `source` is that of a datagram, or "" for a stream, where the message names the sender."""
        try:
            envelope = unseal(data, self.ring, max_bytes)
        except PacketError as error:
            self.count_drop(error.cause)
            return
        if self.station is None or envelope.sender == self.id:
            return
        if not self.replay_window.accept(envelope.sender, envelope.generation, envelope.number):
            self.count_drop("replayed")
            return
        body = envelope.body
        if not source and isinstance(body, Sync) and body.updates:
            source = body.updates[0].address
        elif not source and not isinstance(body, Records | Digest | Carry):
            self.count_drop("malformed")
            return
        self.metrics.add("members_heard")
        self._count_message("heard", body, len(data))
        self._apply_effects(self.station.receive(self.loop.clock(), source, body))

    def _count_message(self, direction: str, body: Message, size: int) -> None:
        """Count messages and bytes by kind; bytes are of sealed packets, without headers of the network."""
        kind = message_kind(body)
        if isinstance(body, Carry) and (self.station is None or body.kind not in self.station.parts):
            kind = "carry"  # bounds the counters where another version has parts unknown here
        self.metrics.add(f"members_{direction}_{kind}")
        self.metrics.add(f"members_{direction}_{kind}_bytes", size)

    def count_drop(self, cause: str) -> None:
        """Count a dropped packet."""
        self.metrics.add("members_dropped_" + cause)

    def _apply_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Changed):
                self.log.info("member", id=effect.id, address=effect.address, state=effect.state)
                self.on_change(effect)
            else:
                self._send(effect)
        self._schedule_tick()

    def _send(self, send: Send) -> None:
        try:
            address = parse_address(send.to, "member")
        except ConfigError:
            self.count_drop("address")
            return
        data = self._seal(send.body)
        self._count_message("sent", send.body, len(data))
        if not send.stream:
            self.metrics.add("members_sent")
            with contextlib.suppress(OSError):  # a failed send is a lost datagram
                if self._datagram_socket is not None:
                    self._datagram_socket.sendto(data, address)
            return
        if len(self.streams) >= MAX_STREAMS:
            self.metrics.add("members_streams_full")
            return
        try:
            Stream(self, sockets.connect(address, self._source_host), len(data).to_bytes(LENGTH_BYTES, "big") + data)
        except OSError:
            self.metrics.add("members_streams_broken")

    def _seal(self, body: Message) -> bytes:
        self._packet_number += 1
        return seal(Envelope(self.id, self.generation, self._packet_number, body), self.ring)

    def _schedule_tick(self) -> None:
        assert self.station is not None
        tick_at = self.station.next_tick()
        if self._timer is not None:
            if self._timer_at <= tick_at:
                return
            self._timer.cancel()
        self._timer_at, self._timer = tick_at, self.loop.call_at(tick_at, self._tick)

    def _tick(self) -> None:
        self._timer = None
        if self.station is not None:
            self._apply_effects(self.station.tick(self.loop.clock()))

    def send_pending(self) -> None:
        """Send the pending payloads of the parts, where neither a message nor a tick has caused them."""
        if self.station is not None:
            self._apply_effects(self.station.said())

    def join(self, seeds: list[str]) -> None:
        """Join the fleet through the members at these addresses."""
        if self.station is not None:
            self._apply_effects(self.station.join(seeds))

    def leave(self) -> None:
        """Announce to the other members that this one leaves; call `stop` only after the datagrams are sent."""
        if self.station is not None:
            self._apply_effects(self.station.leave())

    def status(self) -> dict[str, Any]:
        """Return the state of membership for the control API."""
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
            "others": {member.id: member.state for member in protocol.members.values()},
        }

    def stop(self) -> None:
        """Close all sockets and streams, and cancel the timer."""
        for stream in list(self.streams):
            stream.close()
        for sock in (self._datagram_socket, self._listener):
            if sock is not None:
                self.loop.set_interest(sock, 0, lambda events: None)
                sock.close()
        self._datagram_socket = self._listener = self.station = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
