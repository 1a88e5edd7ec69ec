"""Non-blocking TCP sockets with TCP_NODELAY, for all network components. Addresses are numeric, never resolved."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import socket
import struct
import sys
import termios
from collections import deque
from itertools import islice

from ..address import Address

MAX_BUFFERS_PER_WRITE = 64
# TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING (Linux, include/net/tcp_states.h)
PEER_CLOSED_STATES = frozenset((6, 7, 8, 9, 11))
# struct tcp_info (Linux, include/uapi/linux/tcp.h): `tcpi_bytes_acked`, an unsigned 64-bit number
TCP_INFO_BYTES_ACKED_OFFSET, TCP_INFO_BYTES_ACKED_END = 120, 128


def _new_socket(address: Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    return sock


def listen(address: Address, backlog: int, shared: bool = False) -> socket.socket:
    """Open a listening socket. Raises OSError.

    With `shared`, another process can bind the same address while this one still serves (hot restart).
    """
    sock = _new_socket(address)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if shared:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind(address)
    sock.listen(backlog)
    return sock


def accept(listener: socket.socket) -> socket.socket:
    """Accept one connection. Raises BlockingIOError if there is none, OSError if it failed."""
    sock, _ = listener.accept()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def connect(address: Address, source: str = "") -> socket.socket:
    """Start to connect; the socket becomes writable once it has connected or failed (see `connect_error`).

    `source` is the local IP address to connect from. Raises OSError if the connection fails immediately.
    """
    sock = _new_socket(address)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if source:
        # Otherwise no process could listen on the local port for a minute after this connection is closed (TIME_WAIT).
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((source, 0))
        except OSError:
            sock.close()
            raise
    code = sock.connect_ex(address)
    if code not in (0, errno.EINPROGRESS):
        sock.close()
        raise OSError(code, os.strerror(code))
    return sock


def connect_error(sock: socket.socket) -> int:
    """Return the error number of a failed connect, or 0 if it succeeded."""
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def peek(sock: socket.socket) -> bytes | None:
    """Return the first unread byte without consuming it: None if there is none yet, b"" at the end or on an error."""
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def has_peer_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed or reset the connection, even if data it sent before is still unread."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in PEER_CLOSED_STATES
    except OSError:
        return False


def acknowledged_bytes(sock: socket.socket) -> int:
    """Return how many bytes the peer's system has acknowledged on this connection; 0 where the system does not tell."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES_ACKED_END)
    except OSError:
        return 0
    return int.from_bytes(info[TCP_INFO_BYTES_ACKED_OFFSET:TCP_INFO_BYTES_ACKED_END], sys.byteorder)


def unread_bytes(sock: socket.socket) -> int:
    """Return how many bytes have arrived and were not read; 0 where the system does not tell."""
    try:
        return struct.unpack("i", fcntl.ioctl(sock, termios.FIONREAD, bytes(4)))[0]  # type: ignore[no-any-return]
    except OSError:
        return 0


def write(sock: socket.socket, buffers: deque[bytes | memoryview]) -> int:
    """Write as much as the socket accepts now and return the number of bytes; the rest stays in `buffers`.

    Raises OSError if the connection is closed.
    """
    written = 0
    while buffers:
        try:
            # The chunk framing and its payload leave in one call, so that the framing is not sent as a small segment.
            sent = (
                sock.send(buffers[0])
                if len(buffers) == 1
                else sock.sendmsg(list(islice(buffers, MAX_BUFFERS_PER_WRITE)))
            )
        except BlockingIOError:
            break
        written += sent
        while buffers and sent >= (size := len(buffers[0])):
            sent -= size
            buffers.popleft()
        if sent:
            buffers[0] = memoryview(buffers[0])[sent:]
    return written


def shutdown_write(sock: socket.socket) -> None:
    """Close the sending direction; what the peer still sends can be read."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_WR)


def reset_on_close(sock: socket.socket) -> None:
    """Make `close` send a reset, which the peer cannot take for an orderly end."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def is_out_of_descriptors(error: OSError) -> bool:
    """Return whether an error means that descriptors or socket memory are exhausted."""
    return error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
