"""What the log is applied to: commands in order, each once, on every process alike. No I/O, no clock but the entry's.

A command names who asks and the number that it gave it. The greatest numbers of each asker are remembered with what
came of them, so that one proposed twice, or by way of two voters, is done once, and who asks again gets the same
answer. One under all that are remembered is not done: it may be an old one's double."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, Protocol

import msgspec

from .wire import Entry, Snapshot

ASKERS, REMEMBERED = 2000, 32  # askers, and answers of each: more than it may have out


class Command(msgspec.Struct, frozen=True, array_like=True):
    asker: str
    number: int  # grows; several may be out at once
    part: str  # whose command it is
    body: bytes


class Part(Protocol):
    """A state that all processes keep alike."""

    def apply(self, at: float, body: bytes) -> Any:
        """What came of it, as something that msgpack can hold. Raises ValueError for what cannot be read."""

    def dump(self) -> Any: ...

    def load(self, dumped: Any) -> None: ...


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    asker: str
    number: int
    index: int
    answer: Any


class Dumped(msgspec.Struct, array_like=True):
    askers: list[tuple[str, list[tuple[int, tuple[int, Any]]]]]
    parts: dict[str, Any]


_encode = msgspec.msgpack.Encoder().encode
_command = msgspec.msgpack.Decoder(Command).decode
_dumped = msgspec.msgpack.Decoder(Dumped).decode


def encode(command: Command) -> bytes:
    return _encode(command)


class Machine:
    """A part that is not known here is passed over, and its state kept as it came: versions may live side by side."""

    def __init__(self, parts: dict[str, Part]) -> None:
        self.parts = parts
        self.index = 0
        self.at = 0.0  # of the last entry
        self._done: OrderedDict[str, dict[int, tuple[int, Any]]] = OrderedDict()
        self._strange: dict[str, Any] = {}

    def apply(self, entry: Entry) -> Outcome | None:
        """None for what is no command, and for one that was done before."""
        assert entry.index == self.index + 1, (entry.index, self.index)
        self.index, self.at = entry.index, entry.at
        if entry.kind != "op":
            return None
        try:
            command = _command(entry.data)
        except msgspec.MsgspecError:
            return None
        done = self._done.get(command.asker, {})
        if command.number in done or len(done) == REMEMBERED and command.number < min(done):
            return None
        part = self.parts.get(command.part)
        answer: Any = {"error": f"no part {command.part}"}
        if part is not None:
            try:
                answer = part.apply(entry.at, command.body)
            except ValueError as error:
                answer = {"error": str(error)}
        done = self._done.setdefault(command.asker, {})
        self._done.move_to_end(command.asker)
        done[command.number] = entry.index, answer
        if len(done) > REMEMBERED:
            del done[min(done)]
        if len(self._done) > ASKERS:
            self._done.popitem(last=False)
        return Outcome(command.asker, command.number, entry.index, answer)

    def outcome(self, asker: str, number: int) -> Outcome | None:
        """What came of that command, while it is remembered."""
        found = self._done.get(asker, {}).get(number)
        return None if found is None else Outcome(asker, number, *found)

    def dump(self) -> bytes:
        parts = {**self._strange, **{name: part.dump() for name, part in self.parts.items()}}
        return _encode(Dumped([(asker, list(done.items())) for asker, done in self._done.items()], parts))

    def restore(self, snapshot: Snapshot) -> None:
        """Raises ValueError where it cannot be read."""
        self.index, self.at = snapshot.index, snapshot.at
        told = _dumped(snapshot.data) if snapshot.data else Dumped([], {})
        self._done = OrderedDict((asker, dict(done)) for asker, done in told.askers)
        self._strange = {name: dumped for name, dumped in told.parts.items() if name not in self.parts}
        for name, part in self.parts.items():
            part.load(told.parts.get(name))
