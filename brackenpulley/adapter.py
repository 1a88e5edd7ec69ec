"""Runs decision modules for the simulator: one JSON value a line on standard input and output.

Translates the simulator's events to those of the module and the module's actions back. It makes no decisions.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from .policy import interface
from .policy.brain import DecisionModule
from .settings import JSON, decode_settings

STATUSES = {
    "served": "ok",
    "server_error": "error",
    "turned_away": "full",
    "no_answer": "timeout",
    "no_connection": "connect_failed",
    "connection_lost": "reset",
    "called_off": "cancelled",
    "not_sent": "moot",
}
SERVER_STATES = {"healthy": "up", "cordoned": "draining", "deregistered": "gone"}
LIST_KINDS = {"patch": "changes", "whole": "full", "stale_copy": "stale", "broken": "failed"}


def _decode_server_list(event: JSON) -> interface.ServerList:
    entries = [
        interface.ServerEntry(
            server=line["Worker"],
            zone=line.get("Az", ""),
            cell=line.get("Stripe", 0),
            size=line.get("Units", 1.0),
            state=SERVER_STATES.get(line.get("StageState", "healthy"), "gone"),
            started=line.get("Born") or 0.0,
            kind=line.get("Machine", ""),
        )
        for line in event.get("Lines") or []
    ]
    return interface.ServerList(LIST_KINDS.get(str(event["How"]), "failed"), entries, event.get("SeqNo", 0))


def _decode_status(event: JSON) -> str:
    return STATUSES.get(str(event["Disposition"]), "error")


EVENTS: dict[str, Callable[[JSON], interface.Event]] = {
    "Membership": _decode_server_list,
    "WorkItem": lambda event: interface.MessageReceived(
        event["Ref"],
        event["Category"],
        event.get("Package", ""),
        event.get("Caller", 0),
        event["Grace"],
        event.get("CostUnits", 1),
        int(event.get("EntryPoints", 1)),
        int(event.get("Base", 0)),
        event.get("Resent", False),
        event.get("Update", False),
    ),
    "Verdict": lambda event: interface.Outcome(
        event["Ref"],
        event.get("Worker", ""),
        event.get("Go", 0),
        _decode_status(event),
        event.get("Latency", 0.0),
        event.get("Closed", False),
        event.get("Used", 0),
        event.get("Billed", 0),
        event.get("Telemetry") or [],
    ),
    "Opened": lambda event: interface.StreamStarted(
        event["Ref"], event.get("Worker", ""), event.get("Go", 0), event.get("Latency", 0.0)
    ),
    "CancelledByClient": lambda event: interface.ClientGone(event["Ref"]),
    "Echo": lambda event: interface.ProbeResult(
        event["Worker"], _decode_status(event), event.get("Latency", 0.0), event.get("Telemetry") or []
    ),
    "Tallied": lambda event: interface.CounterResult(
        event["Cname"], _decode_status(event), event.get("Sum", 0.0), event.get("Latency", 0.0)
    ),
    "NoteFrom": lambda event: interface.PeerNote(event.get("OriginPeer", 0), event.get("Data", "")),
    "Alarm": lambda event: interface.TimerFired(event.get("Tag", 0)),
}
ACTIONS: dict[type, Callable[[Any], tuple[str, JSON]]] = {
    interface.Send: lambda action: (
        "HandOff",
        {"Ref": action.id, "Worker": action.server, "Patience": action.timeout},
    ),
    interface.Refuse: lambda action: ("OverloadReply", {"Ref": action.id, "HoldOff": action.retry_after}),
    interface.Fail: lambda action: ("FinishError", {"Ref": action.id}),
    interface.Cancel: lambda action: ("StopAttempt", {"Ref": action.id, "Go": action.attempt}),
    interface.Probe: lambda action: ("Test", {"Worker": action.server}),
    interface.AddToCounter: lambda action: (
        "Add",
        {"Cname": action.name, "N": action.amount, "Lifetime": action.ttl},
    ),
    interface.SendPeerNote: lambda action: ("Notify", {"Dest": action.peer, "Data": action.data}),
    interface.SetTimer: lambda action: ("SetAlarm", {"Tag": action.token, "Span": action.delay}),
    interface.Watch: lambda action: ("Tail", {"Enable": action.enabled}),
    interface.Fetch: lambda action: ("Reload", {}),
    interface.Log: lambda action: ("SayLog", {"ReasonText": action.text}),
}


class Adapter:
    """Passes the events of a batch to the decision modules of this process."""

    def __init__(self) -> None:
        self.decision_modules: dict[int, DecisionModule] = {}  # by the simulator's number of the ingress

    def handle_batch(self, batch: JSON) -> JSON:
        """Returns the actions of all events in a batch; events of unknown kind or for unknown modules are ignored."""
        now, steps = batch["AtTime"], []
        for item in batch["in"]:
            ((kind, event),) = item.items()
            number = event["Who"]
            if kind == "Provision":
                self.decision_modules[number] = DecisionModule(decode_settings(event["Settings"]), event["Prng"], now)
            elif kind == "Halt":
                self.decision_modules.pop(number, None)
            elif kind in EVENTS and number in self.decision_modules:
                for action in self.decision_modules[number].handle(now, EVENTS[kind](event)):
                    name, fields = ACTIONS[type(action)](action)
                    steps.append({name: {"Who": number, **fields}})
        return {"steps": steps}


def run(source: TextIO, sink: TextIO) -> int:
    """Answers batches until the end of input; returns the exit code, 1 after a line that is not a valid batch."""
    adapter = Adapter()
    for line in source:
        try:
            batch = json.loads(line)
            if not isinstance(batch, dict) or not isinstance(batch.get("in"), list) or "AtTime" not in batch:
                raise ValueError("not a batch")
            reply = adapter.handle_batch(batch)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            print(f"adapter: {type(error).__name__}: {error}: {line.strip()[:200]!r}", file=sys.stderr)
            return 1
        sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.stdin, sys.stdout))
