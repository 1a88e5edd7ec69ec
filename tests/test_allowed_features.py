"""Tests that settings which allow more than the driver carries out take no message with them."""

from __future__ import annotations

import copy
from collections.abc import Callable
from typing import Any, get_args

import pytest

from brackenpulley import adapter
from brackenpulley.core.exchange import RelayResult
from brackenpulley.core.message import Message
from brackenpulley.policy import interface

from .rig import rig
from .test_core import ask, make
from .test_link import SETTINGS
from .test_platform import OK
from .util import PLAN, server_list

SERVERS, INGRESSES = 12, 4  # from so many servers on, four ingresses compare a drawn part of them


def settings_with(**limits: bool) -> dict[str, Any]:
    """Settings of one of four ingresses, as a second deployment has them, with these limits."""
    settings: dict[str, Any] = copy.deepcopy(SETTINGS)
    settings.update(NInstances=INGRESSES)
    settings["Limits"].update(MayCancel=True, RetryAfter=True, MaxRetryAfter=2.0, **limits)
    settings["Extra"] = {"MayCount": True, "CountWait": 0.03, "MostUnits": 4, "MailPerS": 100.0}
    settings["Report"] = {"Via": "pull", "Fields": ["pending"]}
    return settings


@pytest.mark.parametrize("limits", [{}, {"Probing": True}, {"Peers": True}, {"Probing": True, "Peers": True}])
def test_a_message_is_forwarded_whatever_the_settings_allow(limits: dict[str, bool]) -> None:
    """Guards against review case 1: an action that the driver did not know took the message's relay with it."""
    with rig(SERVERS, settings=settings_with(**limits)) as harness:
        for number in range(1, 9):
            client = harness.send_request(number, more=f"X-Weight: spread={INGRESSES}\r\n")
            _, server = harness.accept_relay()
            server.read_http()
            server.send(OK)
            assert client.read_http()[0] == 200
        harness.advance_clock(1.0)
        assert harness.count("served") == 8 and harness.count("undecided") == 0


@pytest.mark.parametrize("messages_per_second", [5, 50])
def test_a_firm_keeps_to_its_quota_over_all_ingresses_where_notes_are_allowed_and_not_sent(
    messages_per_second: int,
) -> None:
    """Guards against ingresses that count on each other's notes, which nobody sends, and each grant the whole quota."""
    seconds, relayed = 10, 0
    for place in range(INGRESSES):
        ports, ingress = make(peers=True, peer_per_s=100.0, gateways=INGRESSES, me=place)
        for step in range(seconds * messages_per_second):
            ports.now = 1000.0 + step / messages_per_second
            message = Message(str(step), "check", "gold", 7, 5.0, 1.0, INGRESSES, 0, False)
            ingress.accept(message, ports.answers.append, ports)
            for report in ports.callbacks:
                report(RelayResult("ok", (b"", [])))
            relayed += len(ports.callbacks)
            ports.callbacks.clear()
    first_messages = INGRESSES * 4  # each ingress may let the largest message in before it knows of the firm's use
    assert relayed <= PLAN.rate * seconds + PLAN.burst + first_messages
    assert relayed >= 0.9 * min(PLAN.rate, INGRESSES * messages_per_second) * seconds


def test_every_action_has_a_handler_in_the_driver() -> None:
    """Guards against a new action of the decision module that the driver has no handler for."""
    _, ingress = make()
    assert set(ingress._action_handlers) == set(get_args(interface.Action))


def test_every_action_that_a_simulated_module_can_give_is_encoded() -> None:
    """Guards against the same in the simulator, which neither reserves nor charges."""
    assert set(adapter.ACTIONS) == set(get_args(interface.Action)) - {interface.Reserved, interface.Charge}


@pytest.mark.parametrize("action", [object(), interface.Send("no such message", "s0"), interface.Probe("s0")])
@pytest.mark.parametrize("is_first", [True, False])
def test_an_action_that_fails_takes_no_other_with_it(action: Any, is_first: bool) -> None:
    """Guards against one action that cannot be carried out ending the loop over the others of its event."""
    ports, ingress = make()
    handle = ingress.decision_module.handle

    def insert(now: float, event: interface.Event) -> list[Any]:
        actions: list[Any] = list(handle(now, event))
        actions.insert(0 if is_first else len(actions), action)
        return actions

    ingress.decision_module.handle = insert  # type: ignore[method-assign]
    timers = len(ports.timers)
    ask(ports, ingress)
    ports.callbacks[0](RelayResult("ok", (b"", [])))
    assert [answer.status for answer in ports.answers] == [200] and not ingress.exchanges
    fire: Callable[[], None] = ports.timers[timers - 1]
    before = len(ports.timers)
    fire()
    assert len(ports.timers) > before, "the tick was not set again"
    assert ingress.metrics.counts["faults"] == (0 if isinstance(action, interface.Probe) else 3)


def test_a_module_with_probes_on_still_relays_when_embedded() -> None:
    """Guards the core alone, where whoever embeds it leaves the feature on."""
    ports, ingress = make(probes=True, peers=True, peer_per_s=100.0, gateways=INGRESSES)
    ingress.update_servers(server_list(SERVERS))
    ask(ports, ingress)
    assert len(ports.callbacks) == 1 and ingress.metrics.counts["faults"] == 0
