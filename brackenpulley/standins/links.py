"""Link proxies that lose, delay, cut, stall and reset the traffic between real processes.

A proxy stands before each process's membership address. The process listens at an address of its own in 127.0.0.0/8 and
advertises that of its proxy. It also sends from its own address, by which the proxy of the receiver identifies the
sender. That proxy passes the traffic on from the address of the sender's proxy, so that answers return the same way.
Datagrams and streams follow the rules by ordered pair of `simulation.links`. The work order, rolling drain and scale
benchmarks use it."""

from __future__ import annotations

import random
import socket
import time

from ..address import Address
from ..net import sockets
from ..net.loop import READ, WRITE, Loop
from ..simulation.links import Link, Links

RECEIVE_CHUNK_BYTES = 65536


class Pipe:
    """One direction of a stream: writes what it reads from `source` to `target`, after the link's delay."""

    def __init__(
        self, stream: ProxiedStream, source: socket.socket, target: socket.socket, direction: tuple[str, str]
    ) -> None:
        self.stream, self.source, self.target, self.direction = stream, source, target, direction
        self.unsent = b""
        self.is_finished = False  # the source has sent everything

    def read(self) -> None:
        """Read from the source and schedule the write, or drop the data while the link is cut."""
        try:
            data = self.source.recv(RECEIVE_CHUNK_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.stream.close()
            return
        proxies = self.stream.proxies
        if not data:
            proxies.schedule(*self.direction, self.finish)
        elif proxies.links.find(*self.direction).is_cut:
            return  # dropped without an error, so that the receiver runs into its timeout
        else:
            proxies.schedule(*self.direction, lambda: self.write(data))

    def write(self, data: bytes = b"") -> None:
        """Write to the target, and keep in `unsent` what it does not accept yet."""
        if self.stream.is_closed:
            return
        self.unsent += data
        try:
            while self.unsent:
                self.unsent = self.unsent[self.target.send(self.unsent) :]
        except BlockingIOError:
            pass
        except OSError:
            self.stream.close()
            return
        if self.is_finished and not self.unsent:
            sockets.shutdown_write(self.target)
        self.stream.update_interest()

    def finish(self) -> None:
        """Shut down the target's write side once all data is written."""
        self.is_finished = True
        self.write()


class ProxiedStream:
    """One proxied TCP connection: the accepted one, the one to the real address, and a pipe for each direction."""

    def __init__(
        self,
        proxies: LinkProxies,
        accepted: socket.socket,
        connected: socket.socket,
        sender: str,
        receiver: str,
    ) -> None:
        self.proxies, self.is_closed, self.is_connected = proxies, False, False
        self.endpoints = (sender, receiver)
        self.accepted, self.connected = accepted, connected
        self.forward, self.backward = (
            Pipe(self, accepted, connected, (sender, receiver)),
            Pipe(self, connected, accepted, (receiver, sender)),
        )
        proxies.streams.add(self)
        proxies.loop.register(accepted, READ, lambda events: self.handle_events(self.forward, self.backward, events))
        proxies.loop.register(
            connected, READ | WRITE, lambda events: self.handle_events(self.backward, self.forward, events)
        )

    def handle_events(self, incoming: Pipe, outgoing: Pipe, events: int) -> None:
        """Serve one socket, from which the pipe `incoming` reads and to which the pipe `outgoing` writes."""
        if events & WRITE and not self.is_closed:
            self.is_connected = True
            outgoing.write()
        if events & READ and not self.is_closed:
            incoming.read()

    def update_interest(self) -> None:
        """Wait for the events that the pipes need, and close once both directions are finished and written."""
        loop = self.proxies.loop
        for sock, incoming, outgoing in (
            (self.accepted, self.forward, self.backward),
            (self.connected, self.backward, self.forward),
        ):
            is_connecting = sock is self.connected and not self.is_connected
            events = (0 if incoming.is_finished else READ) | (WRITE if outgoing.unsent or is_connecting else 0)
            loop.set_interest(
                sock,
                events,
                lambda events, reader=incoming, writer=outgoing: self.handle_events(reader, writer, events),  # type: ignore[misc]
            )
        if (
            self.forward.is_finished
            and self.backward.is_finished
            and not self.forward.unsent
            and not self.backward.unsent
        ):
            self.close()

    def close(self, reset: bool = False) -> None:
        """Close both sockets, with a connection reset where `reset`. May be called more than once."""
        if self.is_closed:
            return
        self.is_closed = True
        self.proxies.streams.discard(self)
        for sock in (self.accepted, self.connected):
            self.proxies.loop.set_interest(sock, 0, lambda events: None)
            if reset:
                sockets.reset_on_close(sock)
            sock.close()


class LinkProxies:
    """The proxies of all processes on one event loop. `links` holds the rules that they apply."""

    def __init__(self, loop: Loop, seed: int) -> None:
        self.loop, self.rng, self.links = loop, random.Random(seed), Links(Link(delay=0.0, jitter=0.0))
        self.streams: set[ProxiedStream] = set()
        self.process_addresses: dict[str, Address] = {}
        self.lost_datagrams = self.forwarded_datagrams = 0
        self._datagram_sockets: dict[str, socket.socket] = {}
        self._listeners: dict[str, socket.socket] = {}
        self._names_by_host: dict[str, str] = {}  # process name by the host that it listens on

    def add(self, name: str, address: Address) -> str:
        """Open the proxy of the process `name` that listens on `address`; return the address to advertise."""
        self.process_addresses[name], self._names_by_host[address[0]] = address, name
        listener = self._listeners[name] = sockets.listen(("127.0.0.1", 0), 64)
        proxy_address = listener.getsockname()
        datagram_socket = self._datagram_sockets[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        datagram_socket.setblocking(False)
        datagram_socket.bind(proxy_address)
        self.loop.register(listener, READ, lambda events: self._accept_connection(name))
        self.loop.register(datagram_socket, READ, lambda events: self._receive_datagrams(name))
        return f"{proxy_address[0]}:{proxy_address[1]}"

    def _receive_datagrams(self, receiver: str) -> None:
        for _ in range(64):
            try:
                data, source = self._datagram_sockets[receiver].recvfrom(RECEIVE_CHUNK_BYTES)
            except OSError:
                return
            sender = self._names_by_host.get(source[0])
            if sender is None:
                continue
            now = time.monotonic()
            times = self.links.draw_arrival_times(self.rng, now, sender, receiver, stream=False)
            self.lost_datagrams += not times
            for when in times:
                self.loop.call_in(
                    max(0.0, when - now),
                    lambda sender=sender, data=data: self._forward(sender, receiver, data),  # type: ignore
                )

    def _forward(self, sender: str, receiver: str, data: bytes) -> None:
        if (
            sender in self._datagram_sockets
            and receiver in self._datagram_sockets
            and not self.links.find(sender, receiver).is_cut
        ):
            self.forwarded_datagrams += 1
            try:
                self._datagram_sockets[sender].sendto(data, self.process_addresses[receiver])
            except OSError:  # the process is down
                self.lost_datagrams += 1

    def _accept_connection(self, receiver: str) -> None:
        try:
            sock, source = self._listeners[receiver].accept()
        except OSError:
            return
        sock.setblocking(False)
        sender = self._names_by_host.get(source[0])
        link = self.links.find(sender or "", receiver)
        if sender is None or link.is_cut or self.links.find(receiver, sender).is_cut:
            sockets.reset_on_close(sock)
            sock.close()
            return
        try:
            connected = sockets.connect(self.process_addresses[receiver])
        except OSError:
            sock.close()
            return
        ProxiedStream(self, sock, connected, sender, receiver)

    def schedule(self, sender: str, receiver: str, callback: object) -> None:
        """Call `callback` after the delay of the link or the end of its stall. Calls for a link keep their order."""
        link = self.links.find(sender, receiver)
        self.loop.call_in(max(link.delay, link.stalled_until - time.monotonic()), callback)  # type: ignore[arg-type]

    def reset(self, a: str, b: str) -> None:
        """Reset all streams between two processes, whichever of them opened the stream."""
        for stream in [stream for stream in self.streams if set(stream.endpoints) == {a, b}]:
            stream.close(reset=True)

    def stop(self) -> None:
        """Close all streams and sockets."""
        for stream in list(self.streams):
            stream.close()
        for sock in (*self._datagram_sockets.values(), *self._listeners.values()):
            self.loop.set_interest(sock, 0, lambda events: None)
            sock.close()
        self._datagram_sockets.clear()
        self._listeners.clear()
