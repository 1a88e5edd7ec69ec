"""Whole exchanges as readable text: one line a word, times and ids made stable.

A line is `time who -> whom  Word field=value ...` (`=>` over a stream). Random numbers that only have to differ
(nonces, lives of a voter) are named #1, #2 ... in the order in which they are seen; fields at their default are left
out."""

from __future__ import annotations

from typing import Any

import msgspec

from brackenpulley.consensus.wire import Entry, decode
from brackenpulley.members.protocol import Send
from brackenpulley.members.wire import Carry
from brackenpulley.simulation.world import START, Host, World

LARGE = 1 << 40  # numbers beyond are drawn at random


class Transcript:
    def __init__(self) -> None:
        self.lines: list[str] = []
        self._names: dict[int, str] = {}

    def say(self, line: str) -> None:
        self.lines.append(line)

    def title(self, text: str) -> None:
        self.lines += ["", f"== {text}"] if self.lines else [f"== {text}"]

    def text(self) -> str:
        return "\n".join(self.lines) + "\n"

    def value(self, value: Any) -> str:
        if isinstance(value, int) and not isinstance(value, bool) and value > LARGE:
            return self._names.setdefault(value, f"#{len(self._names) + 1}")
        if isinstance(value, Entry):
            told = f" {value.data.decode('ascii', 'backslashreplace')}" if value.kind == "op" else ""
            return f"{value.index}@{value.term}:{value.kind}{told}"
        if isinstance(value, dict):
            return "{" + ", ".join(f"{key}: {self.value(one)}" for key, one in value.items()) + "}"
        if isinstance(value, list | tuple):
            return "[" + ", ".join(map(self.value, value)) + "]"
        if isinstance(value, msgspec.Struct):
            return self.word(value)
        if isinstance(value, bytes):
            return value.decode("ascii", "backslashreplace")
        return f"{value:.3f}" if isinstance(value, float) else str(value)

    def word(self, word: msgspec.Struct) -> str:
        told = []
        for field in msgspec.structs.fields(word):
            value = getattr(word, field.name)
            if field.required or value != field.default:
                told.append(f"{field.name}={self.value(value)}")
        return f"{type(word).__name__} {' '.join(told)}".rstrip()

    def watch(self, world: World) -> None:
        """Every word between the processes of a world, as it is sent."""
        names = {host.address: host.name for host in world.hosts.values()}

        def sent(host: Host, send: Send) -> None:
            body: Any = send.body
            if isinstance(body, Carry):
                body = decode(body.data).payload
            way = "=>" if send.stream else "->"
            self.say(f"{world.now - START:7.3f} {host.name} {way} {names.get(send.to, send.to)}  {self.word(body)}")

        world.sent = sent
