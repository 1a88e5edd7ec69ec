"""Renders exchanges as readable text for approved transcripts, one message a line, with stable times and ids.

A line is `time sender -> receiver  Message field=value ...`, with `=>` for a stream. Random numbers that only have to
be distinct (nonces, incarnations of a voter) are rendered as #1, #2 ... in the order in which they appear; fields with
their default value are left out."""

from __future__ import annotations

from typing import Any

import msgspec

from brackenpulley.consensus.wire import Entry, decode
from brackenpulley.members.protocol import Send
from brackenpulley.members.wire import Carry
from brackenpulley.simulation.world import START_SECONDS, Host, World

MIN_RANDOM_NUMBER = 1 << 40  # larger numbers are taken for random ones


class Transcript:
    """Collects the lines of one transcript."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self._random_names: dict[int, str] = {}

    def add_line(self, line: str) -> None:
        """Appends a line."""
        self.lines.append(line)

    def add_title(self, text: str) -> None:
        """Appends a title, after an empty line unless it is the first line."""
        self.lines += ["", f"== {text}"] if self.lines else [f"== {text}"]

    def render(self) -> str:
        """Returns the whole transcript."""
        return "\n".join(self.lines) + "\n"

    def format_value(self, value: Any) -> str:
        """Formats the value of a field."""
        if isinstance(value, int) and not isinstance(value, bool) and value > MIN_RANDOM_NUMBER:
            return self._random_names.setdefault(value, f"#{len(self._random_names) + 1}")
        if isinstance(value, Entry):
            payload = f" {value.data.decode('ascii', 'backslashreplace')}" if value.kind == "op" else ""
            return f"{value.index}@{value.term}:{value.kind}{payload}"
        if isinstance(value, dict):
            return "{" + ", ".join(f"{key}: {self.format_value(one)}" for key, one in value.items()) + "}"
        if isinstance(value, list | tuple):
            return "[" + ", ".join(map(self.format_value, value)) + "]"
        if isinstance(value, msgspec.Struct):
            return self.format_message(value)
        if isinstance(value, bytes):
            return value.decode("ascii", "backslashreplace")
        return f"{value:.3f}" if isinstance(value, float) else str(value)

    def format_message(self, message: msgspec.Struct) -> str:
        """Formats a message as its class name and the fields that differ from their default."""
        fields = []
        for field in msgspec.structs.fields(message):
            value = getattr(message, field.name)
            if field.required or value != field.default:
                fields.append(f"{field.name}={self.format_value(value)}")
        return f"{type(message).__name__} {' '.join(fields)}".rstrip()

    def record_sends(self, world: World) -> None:
        """Adds a line for each message that a process of `world` sends from now on."""
        names = {host.address: host.name for host in world.hosts.values()}

        def record(host: Host, send: Send) -> None:
            body: Any = send.body
            if isinstance(body, Carry):
                body = decode(body.data).payload
            arrow = "=>" if send.stream else "->"
            self.add_line(
                f"{world.now - START_SECONDS:7.3f} {host.name} {arrow} {names.get(send.to, send.to)}  "
                f"{self.format_message(body)}"
            )

        world.on_send = record
