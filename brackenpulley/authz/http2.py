"""An HTTP/2 connection that carries gRPC calls on the event loop, and the framing of gRPC messages.

The client and the server of the external authorisation API both use it.
"""

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

MAX_UNSENT_BYTES = 1 << 20  # unsent bytes over which the connection is closed, as the peer reads too slowly
MAX_MESSAGE_BYTES = 128 << 10  # of one gRPC message: a body of 64 KiB, its headers and a margin
MAX_FRAME_BYTES = 16384  # the initial SETTINGS_MAX_FRAME_SIZE, which is not raised
MAX_STREAM_ID = (1 << 31) - 1
Headers = list[tuple[str, str]]

# gRPC status codes
OK = 0
CANCELLED = 1
INVALID_ARGUMENT = 3
DEADLINE_EXCEEDED = 4
ALREADY_EXISTS = 6
PERMISSION_DENIED = 7
RESOURCE_EXHAUSTED = 8
UNIMPLEMENTED = 12
INTERNAL = 13
UNAVAILABLE = 14


class FramingError(ValueError):
    """Raised for data that is not exactly one uncompressed gRPC message; `status` is the gRPC status to answer."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def frame_message(message: bytes) -> bytes:
    """Prefix a message with gRPC's flag for compression and its length."""
    return b"\0" + len(message).to_bytes(4, "big") + message


def unframe_message(data: bytes) -> bytes:
    """Return the message in `data`. Raises FramingError unless it is one whole uncompressed message."""
    if len(data) < 5 or len(data) != 5 + int.from_bytes(data[1:5], "big"):
        raise FramingError(INVALID_ARGUMENT, "not one whole message")
    if data[0]:
        raise FramingError(UNIMPLEMENTED, "compressed messages are not taken")
    return data[5:]


def build_status_headers(status: int, text: str) -> Headers:
    """Build the headers or trailers that end a call with a gRPC status and its message."""
    return [("grpc-status", str(status)), ("grpc-message", quote(text, safe=" "))]


def split_frames(data: bytes) -> tuple[list[bytes], bytes]:
    """Split received bytes into whole HTTP/2 frames and the incomplete rest. Raises FrameTooLargeError."""
    frames, offset = [], 0
    while len(data) - offset >= 9:
        size = 9 + int.from_bytes(data[offset : offset + 3], "big")
        if size > 9 + MAX_FRAME_BYTES:
            raise h2.exceptions.FrameTooLargeError(f"frame of {size - 9} bytes exceeds the limit of {MAX_FRAME_BYTES}")
        if len(data) - offset < size:
            break
        frames.append(data[offset : offset + size])
        offset += size
    return frames, data[offset:]


class Http2Connection:
    """An HTTP/2 connection that owns its socket; only `close` closes it."""

    def __init__(
        self,
        loop: Loop,
        pool: Pool,
        sock: socket.socket,
        is_client: bool,
        max_streams: int,
        on_event: Callable[[h2.events.Event], None],
        on_closed: Callable[[], None],
        on_goaway: Callable[[int], None] | None = None,
    ) -> None:
        self.loop, self.pool, self.sock = loop, pool, sock
        self._on_event, self._on_closed, self._on_goaway = on_event, on_closed, on_goaway
        self.protocol = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=is_client, header_encoding=None)
        )
        codes = h2.settings.SettingCodes
        self.protocol.local_settings = h2.settings.Settings(
            client=is_client,
            initial_values={
                codes.MAX_CONCURRENT_STREAMS: MAX_STREAM_ID,
                codes.MAX_HEADER_LIST_SIZE: 16384,
                codes.ENABLE_PUSH: 0,
            },
        )
        self.protocol.initiate_connection()
        # h2 enforces this limit only once the peer has acknowledged it. Streams opened before that are refused one by
        # one by the user of the connection; with the limit as an initial value h2 would end the whole connection.
        self.protocol.update_settings({codes.MAX_CONCURRENT_STREAMS: max_streams})
        self.received_at = loop.clock()
        self._is_connected = not is_client
        self._received = b""
        self._awaits_preface = not is_client  # the client's connection preface is not a frame
        self._unsent = bytearray()
        self._blocked_messages: dict[int, tuple[bytes, Headers | None]] = {}
        self.is_closed = False
        loop.register(sock, READ if self._is_connected else WRITE, self._on_ready)
        if self._is_connected:
            self.flush()

    def _on_ready(self, events: int) -> None:
        if not self._is_connected:
            if sockets.connect_error(self.sock):
                self.close()
                return
            self._is_connected = True
            self.flush()
            return
        if events & READ:
            self._read()
        if events & WRITE and not self.is_closed:
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
        self.received_at = self.loop.clock()
        try:
            self._process(data)
        except (h2.exceptions.H2Error, ValueError):
            self.flush()  # sends the GOAWAY that h2 queued, if any
            self.close()
            return
        self.flush()

    def _process(self, data: bytes) -> None:
        self._received += data
        if self._awaits_preface:
            if len(self._received) < 24:
                return
            self._received, preface = self._received[24:], self._received[:24]
            self._awaits_preface = False
            self.protocol.receive_data(preface)
        frames, self._received = split_frames(self._received)
        for frame in frames:
            if self.is_closed:
                return
            # After a GOAWAY open streams may still be completed, but h2 would accept no more frames on the connection,
            # so the frame is handled here and not passed to h2.
            if frame[3] == GoAwayFrame.type and self._on_goaway is not None and len(frame) >= 17:
                self._on_goaway(int.from_bytes(frame[9:13], "big") & MAX_STREAM_ID)
                continue
            for event in self.protocol.receive_data(frame):
                if isinstance(event, h2.events.DataReceived) and event.flow_controlled_length:
                    self.protocol.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                elif isinstance(event, h2.events.WindowUpdated | h2.events.RemoteSettingsChanged):
                    for stream_id in list(self._blocked_messages):
                        self._send_blocked(stream_id)
                elif isinstance(event, h2.events.StreamReset):
                    self._blocked_messages.pop(event.stream_id, None)
                self._on_event(event)

    def send(
        self, stream_id: int, headers: Headers, message: bytes | None = None, trailers: Headers | None = None
    ) -> None:
        """Send headers, then a message as flow control allows, then trailers or the end of the stream."""
        try:
            self.protocol.send_headers(stream_id, headers, end_stream=message is None)
            if message is not None:
                self._blocked_messages[stream_id] = frame_message(message), trailers
                self._send_blocked(stream_id)
        except h2.exceptions.H2Error:  # the stream has ended meanwhile; an event reports its end
            self._blocked_messages.pop(stream_id, None)
        self.flush()

    def _send_blocked(self, stream_id: int) -> None:
        data, trailers = self._blocked_messages[stream_id]
        try:
            while data:
                size = min(
                    self.protocol.local_flow_control_window(stream_id), self.protocol.max_outbound_frame_size, len(data)
                )
                if size <= 0:
                    self._blocked_messages[stream_id] = data, trailers
                    return
                self.protocol.send_data(stream_id, data[:size], end_stream=size == len(data) and trailers is None)
                data = data[size:]
            if trailers is not None:
                self.protocol.send_headers(stream_id, trailers, end_stream=True)
        except h2.exceptions.H2Error:
            pass
        self._blocked_messages.pop(stream_id, None)

    def is_blocked(self, stream_id: int) -> bool:
        """Whether part of the stream's message waits for the flow control window."""
        return stream_id in self._blocked_messages

    def reset(self, stream_id: int, code: h2.errors.ErrorCodes) -> None:
        """Reset a stream, if it is still open."""
        self._blocked_messages.pop(stream_id, None)
        try:
            self.protocol.reset_stream(stream_id, code)
        except h2.exceptions.H2Error:
            return
        self.flush()

    def go_away(self, last_stream_id: int) -> None:
        """Send a GOAWAY that names the last stream that is processed.

        The frame bypasses h2, which would end the connection while open streams are still to be answered.
        """
        self._unsent += GoAwayFrame(0, last_stream_id=last_stream_id, error_code=0).serialize()
        self.flush()

    def flush(self) -> None:
        """Write what is pending, as far as the socket takes it."""
        if self.is_closed or not self._is_connected:
            return
        self._unsent += self.protocol.data_to_send()
        if self._unsent:
            try:
                sent = self.sock.send(self._unsent)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.close()
                return
            del self._unsent[:sent]
        if len(self._unsent) > MAX_UNSENT_BYTES:
            self.close()
            return
        self.loop.set_interest(self.sock, READ | WRITE if self._unsent else READ, self._on_ready)

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits to be written."""
        return not self._unsent and not self._blocked_messages

    def close(self) -> None:
        """Close the socket and report it to `on_closed`, once."""
        if not self.is_closed:
            self.is_closed = True
            self.loop.unregister(self.sock)
            self.sock.close()
            self._on_closed()


def decode_headers(headers: Any) -> dict[str, str]:
    """Return header values by name; the last one of a repeated header counts."""
    return {bytes(name).decode("latin-1"): bytes(value).decode("latin-1") for name, value in headers}
