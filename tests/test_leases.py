"""Quota leases in virtual time: several ingresses share one counter; calls are lost and ingresses are killed."""

from __future__ import annotations

import heapq
import random
from functools import partial
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenpulley.plans.leases import EPOCH_SECONDS, CounterCall, Effect, LeaseFinished, LeaseGrant, LeaseManager

RATE = 6.0  # units per second
BURST = 24.0  # units


class Simulation:
    """Lease managers and one counter. Each call has a random latency, and the call or its reply may be lost."""

    def __init__(self, seed: int, ingresses: int, lost: float = 0.0, start: float = 1000.0) -> None:
        self.rng, self.now, self.loss_probability, self.start = random.Random(seed), start, lost, start
        self.numbers: dict[int, tuple[float, float]] = {}
        self.queue: list[tuple[float, int, Any]] = []
        self.serial = self.calls = 0
        self.levels = [0.0] * ingresses
        self.managers = [self.make_manager() for _ in range(ingresses)]
        self.used: list[tuple[float, float]] = []
        self.waiting: list[list[float]] = [[] for _ in range(ingresses)]

    def make_manager(self) -> LeaseManager:
        return LeaseManager(lambda firm, plan, a, b: RATE * (b - a), lambda firm, plan, when: BURST, 1.0, 1.0)

    def call_in(self, delay: float, call: Any) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (self.now + delay, self.serial, call))

    def apply(self, n: int, effects: list[Effect]) -> None:
        manager = self.managers[n]
        for effect in effects:
            if isinstance(effect, CounterCall):
                self.calls += 1
                self.call_in(self.rng.uniform(0.0005, 0.012), lambda e=effect: self.handle_call(n, manager, e))
            elif isinstance(effect, LeaseGrant):
                self.levels[n] += effect.units
            elif isinstance(effect, LeaseFinished):
                waiting, self.waiting[n] = self.waiting[n], []
                for units in waiting:
                    self.use(n, units)

    def handle_call(self, n: int, manager: LeaseManager, call: CounterCall) -> None:
        if self.rng.random() < self.loss_probability:  # the call is lost; the caller sees only a timeout
            self.call_in(0.02, lambda: self.reply(n, manager, call, "timeout", 0.0))
            return
        total, end = self.numbers.get(call.name, (0.0, 0.0))
        if self.now >= end:
            total, end = 0.0, self.now + call.ttl
        self.numbers[call.name] = total + call.amount, end
        status = "timeout" if self.rng.random() < self.loss_probability else "ok"
        self.call_in(
            0.02 if status == "timeout" else self.rng.uniform(0.0005, 0.012),
            lambda: self.reply(n, manager, call, status, total + call.amount),
        )

    def reply(self, n: int, manager: LeaseManager, call: CounterCall, status: str, total: float) -> None:
        if self.managers[n] is manager:  # otherwise the ingress was killed
            self.apply(n, manager.handle_reply(self.now, call.name, status, total))

    def request(self, n: int, units: float) -> None:
        waits, effects = self.managers[n].request(self.now, 7, "p", units, len(self.managers), 0, self.levels[n])
        if waits:
            self.waiting[n].append(units)
        self.apply(n, effects)
        if not waits:
            self.use(n, units)

    def use(self, n: int, units: float) -> None:
        if self.levels[n] >= units:
            self.levels[n] -= units
            self.used.append((self.now, units))

    def kill(self, n: int) -> None:
        self.managers[n], self.levels[n], self.waiting[n] = self.make_manager(), 0.0, []

    def sweep(self) -> None:
        for n, manager in enumerate(self.managers):
            self.apply(n, manager.sweep(self.now, lambda firm, n=n: self.levels[n]))
        self.call_in(0.25, self.sweep)

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        self.now = until

    def find_peak_excess(self) -> float:
        """Return the most units by which use in any span exceeded the integral of the rate plus the burst."""
        debt, since, peak = 0.0, self.start, 0.0
        for when, units in self.used:
            debt = max(0.0, debt - RATE * (when - since)) + units
            since, peak = when, max(peak, debt - BURST)
        return peak


def load(simulation: Simulation, seconds: float, rate: float, idle: tuple[float, float] = (0.0, 0.0)) -> None:
    elapsed = 0.0
    while (elapsed := elapsed + simulation.rng.expovariate(rate)) < seconds:
        if not idle[0] <= elapsed < idle[1]:
            simulation.call_in(
                elapsed,
                partial(
                    simulation.request,
                    simulation.rng.randrange(len(simulation.managers)),
                    simulation.rng.choice((1.0, 1.0, 2.0, 3.0)),
                ),
            )
    simulation.sweep()
    simulation.run(simulation.start + seconds + 1.0)


@pytest.mark.parametrize("ingresses", [1, 3, 8])
@pytest.mark.parametrize("rate", [2.0, 12.0, 40.0])
def test_leases_stay_within_the_quota_and_use_most_of_it(ingresses: int, rate: float) -> None:
    simulation = Simulation(ingresses, ingresses)
    load(simulation, 70.0, rate)  # across three epoch boundaries
    used, offered, allowed = sum(units for _, units in simulation.used), rate * 1.75 * 70, RATE * 70 + BURST
    assert simulation.find_peak_excess() <= 0.5
    assert used >= 0.8 * min(offered, allowed)


def test_idle_firm_does_not_accumulate_quota_beyond_its_burst() -> None:
    """Guards against unused rate left in the number: after half an epoch idle, the firm could use all of it at once."""
    simulation = Simulation(5, 3)
    load(simulation, 19.0, 40.0, idle=(2.0, 15.0))
    assert simulation.find_peak_excess() <= 0.5


@given(st.integers(0, 10_000), st.lists(st.floats(1.0, 60.0), max_size=4), st.sampled_from([0.0, 0.02, 0.2]))
@settings(derandomize=True, deadline=None, max_examples=25)
def test_kills_and_lost_calls_never_add_quota(seed: int, kills: list[float], lost: float) -> None:
    simulation = Simulation(seed, 4, lost)
    for when in kills:
        simulation.call_in(when, lambda: simulation.kill(simulation.rng.randrange(4)))
    load(simulation, 65.0, 30.0)
    # A lost call may have been one that corrects a gap: one or two units too many, never a whole burst.
    assert simulation.find_peak_excess() <= 2.5


def test_silent_counter_is_probed_without_leasing_units() -> None:
    simulation = Simulation(3, 2)
    load(simulation, 5.0, 30.0)
    simulation.loss_probability, before = 1.0, simulation.managers[0].lost_units + simulation.managers[1].lost_units
    begin, calls = simulation.now, simulation.calls
    for n in range(300):
        simulation.call_in(n / 100, lambda n=n: simulation.request(n % 2, 1.0))
    simulation.run(begin + 4.0)
    assert (
        simulation.calls - calls < 40
        and simulation.managers[0].lost_units + simulation.managers[1].lost_units - before <= BURST
    )
    simulation.loss_probability = 0.0
    for n in range(300):
        simulation.call_in(n / 100, lambda n=n: simulation.request(n % 2, 1.0))
    served = len(simulation.used)
    simulation.run(simulation.now + EPOCH_SECONDS / 4)
    assert len(simulation.used) > served and simulation.find_peak_excess() <= 0.5


def test_true_costs_above_the_estimate_are_leased_afterwards() -> None:
    simulation = Simulation(4, 1)
    load(simulation, 1.0, 10.0)
    simulation.levels[0] -= 9.0
    simulation.apply(0, simulation.managers[0].lease_overdraft(simulation.now, 7, simulation.levels[0]))
    assert simulation.levels[0] >= 0.0
    begin, used = simulation.now, len(simulation.used)
    for n in range(100):
        simulation.call_in(n / 100, lambda: simulation.request(0, 1.0))
    simulation.run(begin + 1.1)
    assert sum(units for _, units in simulation.used[used:]) + 9.0 <= BURST + RATE * 2.2
