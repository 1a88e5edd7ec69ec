"""Sockets as every part here wants them: non-blocking, without delay, addresses never looked up."""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import struct
from collections import deque
from itertools import islice

from ..address import Address

AT_ONCE = 64  # buffers that one call writes
LEFT = frozenset((6, 7, 8, 9, 11))  # TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING (Linux, include/net/tcp_states.h)


def _new(at: Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET6 if ":" in at[0] else socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    return sock


def listen(at: Address, backlog: int, shared: bool = False) -> socket.socket:
    """`shared`: a new version of the program binds the same address while this one still serves (hot restart)."""
    sock = _new(at)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if shared:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind(at)
    sock.listen(backlog)
    return sock


def accept(listener: socket.socket) -> socket.socket:
    sock, _ = listener.accept()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def connect(at: Address, source: str = "") -> socket.socket:
    """Begun; it is up, or has failed, once it can be written to. `source`: the address of ours that it comes from.
    Raises OSError where it fails at once."""
    sock = _new(at)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if source:
        # Else its port, once it is closed, could not be listened on for a minute, not by a next process either.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((source, 0))
        except OSError:
            sock.close()
            raise
    code = sock.connect_ex(at)
    if code not in (0, errno.EINPROGRESS):
        sock.close()
        raise OSError(code, os.strerror(code))
    return sock


def failed(sock: socket.socket) -> int:
    """Why a connection did not come up; 0 if it did."""
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def waiting(sock: socket.socket) -> bytes | None:
    """A look at what came and is not read yet: None for nothing, b"" for the end."""
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def left(sock: socket.socket) -> bool:
    """The other side has ended or reset it, whatever it sent before and we did not read."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in LEFT
    except OSError:
        return False


def write(sock: socket.socket, buffers: deque[bytes | memoryview]) -> int:
    """As much as the socket takes now, in bytes; the rest stays in `buffers`. Raises OSError where it has ended."""
    taken = 0
    while buffers:
        try:
            # Framing and what it frames leave in one call, so that no small segment goes out by itself.
            sent = sock.send(buffers[0]) if len(buffers) == 1 else sock.sendmsg(list(islice(buffers, AT_ONCE)))
        except BlockingIOError:
            break
        taken += sent
        while buffers and sent >= (size := len(buffers[0])):
            sent -= size
            buffers.popleft()
        if sent:
            buffers[0] = memoryview(buffers[0])[sent:]
    return taken


def finish(sock: socket.socket) -> None:
    """Nothing more will be written; what the other side still sends can be read."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_WR)


def reset(sock: socket.socket) -> None:
    """Its close will be a reset, which cannot pass for an orderly end."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def out_of_descriptors(error: OSError) -> bool:
    return error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
