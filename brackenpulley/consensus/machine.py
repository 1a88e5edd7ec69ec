"""What the log is applied to: commands in order, each once, on every process alike. No I/O, no clock but the entry's.

A command names who asks and the number that it gave it. The greatest numbers of each proposer are remembered with what
came of them, so that one proposed twice, or by way of two voters, is answers once, and who asks again gets the same
answer. One under all that are remembered is not answers: it may be an old one's double."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, Protocol

import msgspec

from .wire import Entry, Snapshot

MAX_PROPOSERS, MAX_ANSWERS = 2000, 32  # proposers, and answers of each: more than it may have out


class Command(msgspec.Struct, frozen=True, array_like=True):
    proposer: str
    number: int  # grows; several may be out at once
    part: str  # whose command it is
    body: bytes


class Part(Protocol):
    """A state that all processes keep alike."""

    def apply(self, timestamp: float, body: bytes) -> Any:
        """What came of it, as something that msgpack can hold. Raises ValueError for what cannot be read."""

    def dump(self) -> Any: ...

    def load(self, state: Any) -> None: ...


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    proposer: str
    number: int
    index: int
    answer: Any


class MachineState(msgspec.Struct, array_like=True):
    proposers: list[tuple[str, list[tuple[int, tuple[int, Any]]]]]
    parts: dict[str, Any]


_pack = msgspec.msgpack.Encoder().encode
_unpack_command = msgspec.msgpack.Decoder(Command).decode
_unpack_state = msgspec.msgpack.Decoder(MachineState).decode


def encode(command: Command) -> bytes:
    return _pack(command)


class StateMachine:
    """A part that is not known here is passed over, and its state kept as it came: versions may live side by side."""

    def __init__(self, parts: dict[str, Part]) -> None:
        self.parts = parts
        self.index = 0
        self.timestamp = 0.0  # of the last entry
        self._answers: OrderedDict[str, dict[int, tuple[int, Any]]] = OrderedDict()
        self._unknown_parts: dict[str, Any] = {}

    def apply(self, entry: Entry) -> Outcome | None:
        """None for what is no command, and for one that was answers before."""
        assert entry.index == self.index + 1, (entry.index, self.index)
        self.index, self.timestamp = entry.index, entry.timestamp
        if entry.kind != "op":
            return None
        try:
            command = _unpack_command(entry.data)
        except msgspec.MsgspecError:
            return None
        answers = self._answers.get(command.proposer, {})
        if command.number in answers or len(answers) == MAX_ANSWERS and command.number < min(answers):
            return None
        part = self.parts.get(command.part)
        answer: Any = {"error": f"no part {command.part}"}
        if part is not None:
            try:
                answer = part.apply(entry.timestamp, command.body)
            except ValueError as error:
                answer = {"error": str(error)}
        answers = self._answers.setdefault(command.proposer, {})
        self._answers.move_to_end(command.proposer)
        answers[command.number] = entry.index, answer
        if len(answers) > MAX_ANSWERS:
            del answers[min(answers)]
        if len(self._answers) > MAX_PROPOSERS:
            self._answers.popitem(last=False)
        return Outcome(command.proposer, command.number, entry.index, answer)

    def outcome(self, proposer: str, number: int) -> Outcome | None:
        """What came of that command, while it is remembered."""
        answer = self._answers.get(proposer, {}).get(number)
        return None if answer is None else Outcome(proposer, number, *answer)

    def dump(self) -> bytes:
        parts = {**self._unknown_parts, **{name: part.dump() for name, part in self.parts.items()}}
        return _pack(
            MachineState([(proposer, list(answers.items())) for proposer, answers in self._answers.items()], parts)
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Raises ValueError where it cannot be read."""
        self.index, self.timestamp = snapshot.index, snapshot.timestamp
        state = _unpack_state(snapshot.data) if snapshot.data else MachineState([], {})
        self._answers = OrderedDict((proposer, dict(answers)) for proposer, answers in state.proposers)
        self._unknown_parts = {name: part_state for name, part_state in state.parts.items() if name not in self.parts}
        for name, part in self.parts.items():
            part.load(state.parts.get(name))
