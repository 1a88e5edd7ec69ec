"""State machine of the replicated log: applies each command once, in log order and alike on every process.

It does no I/O and reads no clock but the timestamps of the entries. A command carries its proposer and a number. The
answers to the greatest numbers of each proposer are kept, so that a command which was proposed twice, or through two
voters, is applied once, and proposing it again yields the same answer. A command whose number is below all that are
kept is not applied, since it may be a duplicate of an old one.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, Protocol

import msgspec

from .wire import Entry, Snapshot

MAX_PROPOSERS = 2000  # whose answers are kept; the least recently active one is evicted
MAX_ANSWERS = 32  # kept for each proposer; more than it may have outstanding (agreement.MAX_OUTSTANDING)


class Command(msgspec.Struct, frozen=True, array_like=True):
    """Command for one part, identified by proposer and number."""

    proposer: str
    number: int  # increases; several commands of one proposer may be outstanding
    part: str  # name of the part that applies it
    body: bytes


class Part(Protocol):
    """Replicated state that commands of one name are applied to, identical on all processes."""

    def apply(self, timestamp: float, body: bytes) -> Any:
        """Apply a command and return its answer, which msgpack must be able to encode.

        Raises ValueError for a malformed command.
        """

    def dump(self) -> Any:
        """Return the whole state as a value that msgpack can encode."""
        ...

    def load(self, state: Any) -> None:
        """Replace the state by the result of an earlier `dump`, or reset it for None."""
        ...


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a command and the log index at which it was applied."""

    proposer: str
    number: int
    index: int
    answer: Any


class MachineState(msgspec.Struct, array_like=True):
    """Contents of a snapshot: answers kept for each proposer, and the dump of each part."""

    proposers: list[tuple[str, list[tuple[int, tuple[int, Any]]]]]
    parts: dict[str, Any]


_pack = msgspec.msgpack.Encoder().encode
_unpack_command = msgspec.msgpack.Decoder(Command).decode
_unpack_state = msgspec.msgpack.Decoder(MachineState).decode


def encode(command: Command) -> bytes:
    """Encode a command as the data of a log entry."""
    return _pack(command)


class StateMachine:
    """Parts that the log is applied to, and the answers to recent commands.

    The state of an unknown part is kept unchanged and its commands are answered with an error, so that processes of
    different versions can share a log.
    """

    def __init__(self, parts: dict[str, Part]) -> None:
        self.parts = parts
        self.index = 0
        self.timestamp = 0.0  # of the last entry applied
        self._answers: OrderedDict[str, dict[int, tuple[int, Any]]] = OrderedDict()
        self._unknown_parts: dict[str, Any] = {}

    def apply(self, entry: Entry) -> Outcome | None:
        """Apply the next entry and return the outcome, or None where it is no command or a duplicate."""
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
        """Return the outcome of a command that was applied, or None where it is unknown or evicted."""
        answer = self._answers.get(proposer, {}).get(number)
        return None if answer is None else Outcome(proposer, number, *answer)

    def dump(self) -> bytes:
        """Return the whole state, encoded as the data of a snapshot."""
        parts = {**self._unknown_parts, **{name: part.dump() for name, part in self.parts.items()}}
        return _pack(
            MachineState([(proposer, list(answers.items())) for proposer, answers in self._answers.items()], parts)
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state by that of a snapshot.

        Raises ValueError for malformed data.
        """
        self.index, self.timestamp = snapshot.index, snapshot.timestamp
        state = _unpack_state(snapshot.data) if snapshot.data else MachineState([], {})
        self._answers = OrderedDict((proposer, dict(answers)) for proposer, answers in state.proposers)
        self._unknown_parts = {name: part_state for name, part_state in state.parts.items() if name not in self.parts}
        for name, part in self.parts.items():
            part.load(state.parts.get(name))
