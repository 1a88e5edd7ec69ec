"""The exact mode in virtual time: several ingresses, one adding counter, and whatever goes wrong between them."""

from __future__ import annotations

import heapq
import random
from functools import partial
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenpulley.plans.leases import EPOCH_SECONDS, CounterCall, Effect, LeaseFinished, LeaseGrant, LeaseManager

RATE, BURST = 6.0, 24.0


class World:
    """Keepers before one counter. Each call takes a random time there and back; it may be lost on either way."""

    def __init__(self, seed: int, ingresses: int, lost: float = 0.0, start: float = 1000.0) -> None:
        self.rng, self.now, self.lost, self.start = random.Random(seed), start, lost, start
        self.numbers: dict[int, tuple[float, float]] = {}
        self.queue: list[tuple[float, int, Any]] = []
        self.serial = self.calls = 0
        self.levels = [0.0] * ingresses
        self.keepers = [self.keeper() for _ in range(ingresses)]
        self.used: list[tuple[float, float]] = []
        self.waiting: list[list[float]] = [[] for _ in range(ingresses)]

    def keeper(self) -> LeaseManager:
        return LeaseManager(lambda firm, plan, a, b: RATE * (b - a), lambda firm, plan, when: BURST, 1.0, 1.0)

    def at(self, delay: float, call: Any) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (self.now + delay, self.serial, call))

    def do(self, n: int, effects: list[Effect]) -> None:
        keeper = self.keepers[n]
        for effect in effects:
            if isinstance(effect, CounterCall):
                self.calls += 1
                self.at(self.rng.uniform(0.0005, 0.012), lambda e=effect: self.counter(n, keeper, e))
            elif isinstance(effect, LeaseGrant):
                self.levels[n] += effect.units
            elif isinstance(effect, LeaseFinished):
                waiting, self.waiting[n] = self.waiting[n], []
                for units in waiting:
                    self.use(n, units)

    def counter(self, n: int, keeper: LeaseManager, call: CounterCall) -> None:
        if self.rng.random() < self.lost:  # never arrived; the caller cannot know
            self.at(0.02, lambda: self.back(n, keeper, call, "timeout", 0.0))
            return
        total, end = self.numbers.get(call.name, (0.0, 0.0))
        if self.now >= end:
            total, end = 0.0, self.now + call.ttl
        self.numbers[call.name] = total + call.amount, end
        status = "timeout" if self.rng.random() < self.lost else "ok"
        self.at(
            0.02 if status == "timeout" else self.rng.uniform(0.0005, 0.012),
            lambda: self.back(n, keeper, call, status, total + call.amount),
        )

    def back(self, n: int, keeper: LeaseManager, call: CounterCall, status: str, total: float) -> None:
        if self.keepers[n] is keeper:  # else it was killed
            self.do(n, keeper.handle_reply(self.now, call.name, status, total))

    def ask(self, n: int, units: float) -> None:
        waits, effects = self.keepers[n].request(self.now, 7, "p", units, len(self.keepers), 0, self.levels[n])
        if waits:
            self.waiting[n].append(units)
        self.do(n, effects)
        if not waits:
            self.use(n, units)

    def use(self, n: int, units: float) -> None:
        if self.levels[n] >= units:
            self.levels[n] -= units
            self.used.append((self.now, units))

    def kill(self, n: int) -> None:
        self.keepers[n], self.levels[n], self.waiting[n] = self.keeper(), 0.0, []

    def sweep(self) -> None:
        for n, keeper in enumerate(self.keepers):
            self.do(n, keeper.sweep(self.now, lambda firm, n=n: self.levels[n]))
        self.at(0.25, self.sweep)

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        self.now = until

    def peak(self) -> float:
        """Units by which use in some span passed the integral of the rate and the burst."""
        debt, at, most = 0.0, self.start, 0.0
        for when, units in self.used:
            debt = max(0.0, debt - RATE * (when - at)) + units
            at, most = when, max(most, debt - BURST)
        return most


def load(w: World, seconds: float, rate: float, idle: tuple[float, float] = (0.0, 0.0)) -> None:
    t = 0.0
    while (t := t + w.rng.expovariate(rate)) < seconds:
        if not idle[0] <= t < idle[1]:
            w.at(t, partial(w.ask, w.rng.randrange(len(w.keepers)), w.rng.choice((1.0, 1.0, 2.0, 3.0))))
    w.sweep()
    w.run(w.start + seconds + 1.0)


@pytest.mark.parametrize("ingresses", [1, 3, 8])
@pytest.mark.parametrize("rate", [2.0, 12.0, 40.0])
def test_leases_never_pass_the_allowance_and_leave_little_idle(ingresses: int, rate: float) -> None:
    w = World(ingresses, ingresses)
    load(w, 70.0, rate)  # over three ends of an epoch
    used, offered, allowed = sum(u for _, u in w.used), rate * 1.75 * 70, RATE * 70 + BURST
    assert w.peak() <= 0.5
    assert used >= 0.8 * min(offered, allowed)


def test_what_an_idle_firm_did_not_use_is_not_saved_up_beyond_its_burst() -> None:
    """Guards against a gap left in the number: after half an epoch without use it would be let in for all of it."""
    w = World(5, 3)
    load(w, 19.0, 40.0, idle=(2.0, 15.0))
    assert w.peak() <= 0.5


@given(st.integers(0, 10_000), st.lists(st.floats(1.0, 60.0), max_size=4), st.sampled_from([0.0, 0.02, 0.2]))
@settings(derandomize=True, deadline=None, max_examples=25)
def test_kills_and_lost_calls_only_ever_cost_allowance(seed: int, kills: list[float], lost: float) -> None:
    w = World(seed, 4, lost)
    for when in kills:
        w.at(when, lambda: w.kill(w.rng.randrange(4)))
    load(w, 65.0, 30.0)
    # Lost calls may also be ones that gave back too much of a gap: a unit or two, never a burst.
    assert w.peak() <= 2.5


def test_a_silent_counter_is_asked_with_nothing_at_stake() -> None:
    w = World(3, 2)
    load(w, 5.0, 30.0)
    w.lost, before = 1.0, w.keepers[0].lost_units + w.keepers[1].lost_units
    begin, calls = w.now, w.calls
    for n in range(300):
        w.at(n / 100, lambda n=n: w.ask(n % 2, 1.0))
    w.run(begin + 4.0)
    assert w.calls - calls < 40 and w.keepers[0].lost_units + w.keepers[1].lost_units - before <= BURST
    w.lost = 0.0
    for n in range(300):
        w.at(n / 100, lambda n=n: w.ask(n % 2, 1.0))
    served = len(w.used)
    w.run(w.now + EPOCH_SECONDS / 4)
    assert len(w.used) > served and w.peak() <= 0.5


def test_true_costs_above_the_guess_are_leased_afterwards() -> None:
    w = World(4, 1)
    load(w, 1.0, 10.0)
    w.levels[0] -= 9.0
    w.do(0, w.keepers[0].lease_overdraft(w.now, 7, w.levels[0]))
    assert w.levels[0] >= 0.0
    begin, used = w.now, len(w.used)
    for n in range(100):
        w.at(n / 100, lambda: w.ask(0, 1.0))
    w.run(begin + 1.1)
    assert sum(u for _, u in w.used[used:]) + 9.0 <= BURST + RATE * 2.2
