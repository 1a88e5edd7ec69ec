"""Adapter between the simulator's wire (one JSON value a line) and the decision module. It decides nothing."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from .policy import interface as i
from .policy.brain import DecisionModule
from .settings import JSON, decode_settings

STATUS = {
    "served": "ok",
    "server_error": "error",
    "turned_away": "full",
    "no_answer": "timeout",
    "no_connection": "connect_failed",
    "connection_lost": "reset",
    "called_off": "cancelled",
    "not_sent": "moot",
}
STATE = {"healthy": "up", "cordoned": "draining", "deregistered": "gone"}
HOW = {"patch": "changes", "whole": "full", "stale_copy": "stale", "broken": "failed"}


def _members(e: JSON) -> i.ServerList:
    entries = [
        i.ServerEntry(
            server=x["Worker"],
            zone=x.get("Az", ""),
            cell=x.get("Stripe", 0),
            size=x.get("Units", 1.0),
            state=STATE.get(x.get("StageState", "healthy"), "gone"),
            started=x.get("Born") or 0.0,
            kind=x.get("Machine", ""),
        )
        for x in e.get("Lines") or []
    ]
    return i.ServerList(HOW.get(str(e["How"]), "failed"), entries, e.get("SeqNo", 0))


def _status(e: JSON) -> str:
    return STATUS.get(str(e["Disposition"]), "error")


EVENTS: dict[str, Callable[[JSON], i.Event]] = {
    "Membership": _members,
    "WorkItem": lambda e: i.MessageReceived(
        e["Ref"],
        e["Category"],
        e.get("Package", ""),
        e.get("Caller", 0),
        e["Grace"],
        e.get("CostUnits", 1),
        int(e.get("EntryPoints", 1)),
        int(e.get("Base", 0)),
        e.get("Resent", False),
        e.get("Update", False),
    ),
    "Verdict": lambda e: i.Outcome(
        e["Ref"],
        e.get("Worker", ""),
        e.get("Go", 0),
        _status(e),
        e.get("Latency", 0.0),
        e.get("Closed", False),
        e.get("Used", 0),
        e.get("Billed", 0),
        e.get("Telemetry") or [],
    ),
    "Opened": lambda e: i.StreamStarted(e["Ref"], e.get("Worker", ""), e.get("Go", 0), e.get("Latency", 0.0)),
    "CancelledByClient": lambda e: i.ClientGone(e["Ref"]),
    "Echo": lambda e: i.ProbeResult(e["Worker"], _status(e), e.get("Latency", 0.0), e.get("Telemetry") or []),
    "Tallied": lambda e: i.CounterResult(e["Cname"], _status(e), e.get("Sum", 0.0), e.get("Latency", 0.0)),
    "NoteFrom": lambda e: i.PeerNote(e.get("OriginPeer", 0), e.get("Data", "")),
    "Alarm": lambda e: i.TimerFired(e.get("Tag", 0)),
}
ACTIONS: dict[type, Callable[[Any], tuple[str, JSON]]] = {
    i.Send: lambda a: ("HandOff", {"Ref": a.id, "Worker": a.server, "Patience": a.timeout}),
    i.Refuse: lambda a: ("OverloadReply", {"Ref": a.id, "HoldOff": a.retry_after}),
    i.Fail: lambda a: ("FinishError", {"Ref": a.id}),
    i.Cancel: lambda a: ("StopAttempt", {"Ref": a.id, "Go": a.attempt}),
    i.Probe: lambda a: ("Test", {"Worker": a.server}),
    i.AddToCounter: lambda a: ("Add", {"Cname": a.name, "N": a.amount, "Lifetime": a.ttl}),
    i.SendPeerNote: lambda a: ("Notify", {"Dest": a.peer, "Data": a.data}),
    i.SetTimer: lambda a: ("SetAlarm", {"Tag": a.token, "Span": a.delay}),
    i.Watch: lambda a: ("Tail", {"Enable": a.enabled}),
    i.Fetch: lambda a: ("Reload", {}),
    i.Log: lambda a: ("SayLog", {"ReasonText": a.text}),
}


class Link:
    """Routes the events of a batch to the gateways of this process."""

    def __init__(self) -> None:
        self.decision_modules: dict[int, DecisionModule] = {}

    def batch(self, message: JSON) -> JSON:
        now, steps = message["AtTime"], []
        for item in message["in"]:
            ((kind, e),) = item.items()
            who = e["Who"]
            if kind == "Provision":
                self.decision_modules[who] = DecisionModule(decode_settings(e["Settings"]), e["Prng"], now)
            elif kind == "Halt":
                self.decision_modules.pop(who, None)
            elif kind in EVENTS and who in self.decision_modules:
                for action in self.decision_modules[who].handle(now, EVENTS[kind](e)):
                    name, row = ACTIONS[type(action)](action)
                    steps.append({name: {"Who": who, **row}})
        return {"steps": steps}


def run(source: TextIO, sink: TextIO) -> int:
    link = Link()
    for line in source:
        try:
            message = json.loads(line)
            if not isinstance(message, dict) or not isinstance(message.get("in"), list) or "AtTime" not in message:
                raise ValueError("not a batch")
            reply = link.batch(message)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            print(f"adapter: {type(error).__name__}: {error}: {line.strip()[:200]!r}", file=sys.stderr)
            return 1
        sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.stdin, sys.stdout))
