"""One HTTP/2 connection that speaks gRPC on our loop; both sides of external authorisation use it."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from hyperframe.frame import GoAwayFrame

from ..net import sockets
from ..net.loop import READ, WRITE, Loop
from ..net.pool import Pool

BACKLOG = 1 << 20  # bytes the other side may leave unread before its connection is closed
MESSAGE = 128 << 10  # bytes of one gRPC message at most: a body of 64 KiB, its headers, and room
FRAME = 16384  # HTTP/2's least limit on a frame, which we leave in force
LAST = (1 << 31) - 1
Headers = list[tuple[str, str]]

OK, CANCELLED, INVALID_ARGUMENT, DEADLINE_EXCEEDED, ALREADY_EXISTS = 0, 1, 3, 4, 6
PERMISSION_DENIED, RESOURCE_EXHAUSTED, UNIMPLEMENTED, INTERNAL, UNAVAILABLE = 7, 8, 12, 13, 14


class FramingError(ValueError):
    """The bytes are no single gRPC message; carries the gRPC status."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def frame(message: bytes) -> bytes:
    return b"\0" + len(message).to_bytes(4, "big") + message


def unframe(data: bytes) -> bytes:
    if len(data) < 5 or len(data) != 5 + int.from_bytes(data[1:5], "big"):
        raise FramingError(INVALID_ARGUMENT, "not one whole message")
    if data[0]:
        raise FramingError(UNIMPLEMENTED, "compressed messages are not taken")
    return data[5:]


def status_headers(status: int, text: str) -> Headers:
    return [("grpc-status", str(status)), ("grpc-message", quote(text, safe=" "))]


def split(data: bytes) -> tuple[list[bytes], bytes]:
    """Whole frames, and the rest."""
    frames, at = [], 0
    while len(data) - at >= 9:
        size = 9 + int.from_bytes(data[at : at + 3], "big")
        if size > 9 + FRAME:
            raise h2.exceptions.FrameTooLargeError("a frame over the limit")
        if len(data) - at < size:
            break
        frames.append(data[at : at + size])
        at += size
    return frames, data[at:]


class Http2:
    """Owns its socket, given back in `close` alone."""

    def __init__(
        self,
        loop: Loop,
        pool: Pool,
        sock: socket.socket,
        client: bool,
        streams: int,
        heard: Callable[[h2.events.Event], None],
        ended: Callable[[], None],
        going: Callable[[int], None] | None = None,
    ) -> None:
        self.loop, self.pool, self.sock = loop, pool, sock
        self._heard, self._ended, self._going = heard, ended, going
        self.h2 = h2.connection.H2Connection(h2.config.H2Configuration(client_side=client, header_encoding=None))
        codes = h2.settings.SettingCodes
        self.h2.local_settings = h2.settings.Settings(
            client=client,
            initial_values={
                codes.MAX_CONCURRENT_STREAMS: LAST,
                codes.MAX_HEADER_LIST_SIZE: 16384,
                codes.ENABLE_PUSH: 0,
            },
        )
        self.h2.initiate_connection()
        # In force once it is acknowledged: streams that crossed it are turned away one by one by who counts them,
        # where h2 would end the whole connection.
        self.h2.update_settings({codes.MAX_CONCURRENT_STREAMS: streams})
        self.heard_at = loop.clock()
        self._up = not client
        self._in = b""
        self._preface = not client  # the client's opening words are no frame
        self._out = bytearray()
        self._blocked: dict[int, tuple[bytes, Headers | None]] = {}
        self.closed = False
        loop.register(sock, READ if self._up else WRITE, self._event)
        if self._up:
            self.flush()

    def _event(self, events: int) -> None:
        if not self._up:
            if sockets.connect_error(self.sock):
                self.close()
                return
            self._up = True
            self.flush()
            return
        if events & READ:
            self._read()
        if events & WRITE and not self.closed:
            self.flush()

    def _read(self) -> None:
        buffer = self.pool.acquire()
        try:
            count = self.sock.recv_into(buffer)
            data = bytes(buffer[:count])
        except BlockingIOError:
            return
        except OSError:
            data = b""
        finally:
            self.pool.release(buffer)
        if not data:
            self.close()
            return
        self.heard_at = self.loop.clock()
        try:
            self._take(data)
        except (h2.exceptions.H2Error, ValueError):
            self.flush()  # the other side is told what was wrong with it
            self.close()
            return
        self.flush()

    def _take(self, data: bytes) -> None:
        self._in += data
        if self._preface:
            if len(self._in) < 24:
                return
            self._in, opening = self._in[24:], self._in[:24]
            self._preface = False
            self.h2.receive_data(opening)
        frames, self._in = split(self._in)
        for part in frames:
            if self.closed:
                return
            # A GOAWAY lets what is out be finished; h2 would take nothing more on the connection after it.
            if part[3] == GoAwayFrame.type and self._going is not None and len(part) >= 17:
                self._going(int.from_bytes(part[9:13], "big") & LAST)
                continue
            for event in self.h2.receive_data(part):
                if isinstance(event, h2.events.DataReceived) and event.flow_controlled_length:
                    self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                elif isinstance(event, h2.events.WindowUpdated | h2.events.RemoteSettingsChanged):
                    for stream in list(self._blocked):
                        self._push(stream)
                elif isinstance(event, h2.events.StreamReset):
                    self._blocked.pop(event.stream_id, None)
                self._heard(event)

    def send(
        self, stream: int, headers: Headers, message: bytes | None = None, trailers: Headers | None = None
    ) -> None:
        """Headers, then a message as the other side's window allows, then trailers or the end of the stream."""
        try:
            self.h2.send_headers(stream, headers, end_stream=message is None)
            if message is not None:
                self._blocked[stream] = frame(message), trailers
                self._push(stream)
        except h2.exceptions.H2Error:  # the stream has ended meanwhile; its end is heard of as an event
            self._blocked.pop(stream, None)
        self.flush()

    def _push(self, stream: int) -> None:
        data, trailers = self._blocked[stream]
        try:
            while data:
                room = min(self.h2.local_flow_control_window(stream), self.h2.max_outbound_frame_size, len(data))
                if room <= 0:
                    self._blocked[stream] = data, trailers
                    return
                self.h2.send_data(stream, data[:room], end_stream=room == len(data) and trailers is None)
                data = data[room:]
            if trailers is not None:
                self.h2.send_headers(stream, trailers, end_stream=True)
        except h2.exceptions.H2Error:
            pass
        self._blocked.pop(stream, None)

    def blocked(self, stream: int) -> bool:
        return stream in self._blocked

    def reset(self, stream: int, code: h2.errors.ErrorCodes) -> None:
        self._blocked.pop(stream, None)
        try:
            self.h2.reset_stream(stream, code)
        except h2.exceptions.H2Error:
            return
        self.flush()

    def go_away(self, last: int) -> None:
        """Written by hand: h2's own would end the connection, and what is held is still to be answered."""
        self._out += GoAwayFrame(0, last_stream_id=last, error_code=0).serialize()
        self.flush()

    def flush(self) -> None:
        if self.closed or not self._up:
            return
        self._out += self.h2.data_to_send()
        if self._out:
            try:
                sent = self.sock.send(self._out)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.close()
                return
            del self._out[:sent]
        if len(self._out) > BACKLOG:
            self.close()
            return
        self.loop.set_interest(self.sock, READ | WRITE if self._out else READ, self._event)

    @property
    def idle(self) -> bool:
        return not self._out and not self._blocked

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.loop.unregister(self.sock)
            self.sock.close()
            self._ended()


def text_of(headers: Any) -> dict[str, str]:
    """Header bytes by name; of a repeated one the last counts."""
    return {bytes(n).decode("latin-1"): bytes(v).decode("latin-1") for n, v in headers}
