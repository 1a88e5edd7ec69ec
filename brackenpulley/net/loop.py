"""The one loop: selectors, a heap of timers, a wake-up for signals. Time is passed in."""

from __future__ import annotations

import heapq
import os
import selectors
import signal
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from ..metrics import Metrics

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
TIMERS_A_TURN = 256  # more that are due wait a turn, so that no burst of timers keeps the sockets waiting
LATE = 0.05  # s of a turn; what is found ready after one that took longer may have waited for so long
DEAD_TIMERS = 512  # cancelled timers that may wait for their time
Ready = Callable[[int], None]


class Timer:
    __slots__ = ("call", "loop")

    def __init__(self, call: Callable[[], None], loop: Loop) -> None:
        self.call: Callable[[], None] | None = call
        self.loop = loop

    def cancel(self) -> None:
        if self.call is not None:
            self.call = None
            self.loop.cancelled()


class Watchable(Protocol):
    """A socket, or whatever else has a descriptor."""

    def fileno(self) -> int: ...


class Pipe:
    """The way from a signal to the loop. Not a pair of sockets: those would be Unix sockets, which run may not have."""

    def __init__(self) -> None:
        self.read, self.write = os.pipe()
        os.set_blocking(self.read, False)
        os.set_blocking(self.write, False)

    def fileno(self) -> int:
        return self.read

    def close(self) -> None:
        os.close(self.read)
        os.close(self.write)


class Loop:
    """Owns the selector. A socket is owned by who registered it, who also forgets it before closing it."""

    def __init__(self, clock: Callable[[], float], metrics: Metrics, log: Any) -> None:
        self.clock, self.metrics, self.log = clock, metrics, log
        self._selector = selectors.DefaultSelector()
        self._keys: dict[int, selectors.SelectorKey] = {}  # by descriptor; the selector's own map is slow to ask
        self._heap: list[tuple[float, int, Timer]] = []
        self._serial = self._cancelled = 0
        self._urgent: set[Watchable] = set()
        self._soon: deque[Callable[[], None]] = deque()
        self._signals: dict[int, Callable[[], None]] = {}
        self._wake: Pipe | None = None
        self.running = False
        self.late = False  # the turn before this one was long

    def register(self, sock: Watchable, events: int, ready: Ready, urgent: bool = False) -> None:
        key = self._selector.register(sock, events, ready)
        self._keys[key.fd] = key
        if urgent:  # served before the others of a turn
            self._urgent.add(sock)

    def want(self, sock: Watchable, events: int, ready: Ready) -> None:
        """Ask for these events, or for none; `ready` counts where the socket was not registered."""
        if (number := sock.fileno()) < 0:
            return
        key = self._keys.get(number)
        if key is None:
            if events:
                self.register(sock, events, ready)
        elif not events:
            self.forget(sock)
        elif key.events != events:
            self._keys[number] = self._selector.modify(sock, events, key.data)

    def forget(self, sock: Watchable) -> None:
        del self._keys[self._selector.unregister(sock).fd]
        self._urgent.discard(sock)

    def call_at(self, when: float, call: Callable[[], None]) -> Timer:
        timer = Timer(call, self)
        self._serial += 1
        heapq.heappush(self._heap, (when, self._serial, timer))
        return timer

    def cancelled(self) -> None:
        """One more timer that will never be due: now and then they are taken out, or they would pile up till then."""
        self._cancelled += 1
        if self._cancelled > DEAD_TIMERS and self._cancelled > len(self._heap) // 2:
            self._heap = [entry for entry in self._heap if entry[2].call is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def call_in(self, delay: float, call: Callable[[], None]) -> Timer:
        return self.call_at(self.clock() + delay, call)

    def call_soon(self, call: Callable[[], None]) -> None:
        self._soon.append(call)

    def once_a_turn(self, call: Callable[[], None]) -> Callable[[], None]:
        """A call that may be asked for many times and from anywhere: it comes once, at the end of the turn."""
        asked = False

        def due() -> None:
            nonlocal asked
            asked = False
            call()

        def ask() -> None:
            nonlocal asked
            if not asked:
                asked = True
                self.call_soon(due)

        return ask

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        if self._wake is None:
            self._wake = Pipe()
            signal.set_wakeup_fd(self._wake.write, warn_on_full_buffer=False)
            self.register(self._wake, READ, self._signalled)
        self._signals[number] = call
        signal.signal(number, lambda *_: None)

    def _signalled(self, events: int) -> None:
        assert self._wake is not None
        for number in os.read(self._wake.read, 64):
            if number in self._signals:
                self._signals[number]()

    def run(self) -> None:
        self.running = True
        while self.running:
            self.turn()

    def stop(self) -> None:
        self.running = False

    def turn(self, longest: float = 1.0) -> None:
        """One turn: what the sockets bring (urgent ones first), timers that are due, calls put off."""
        now = self.clock()
        while self._heap and self._heap[0][2].call is None:
            heapq.heappop(self._heap)
            self._cancelled -= 1
        wait = min(longest, max(0.0, self._heap[0][0] - now)) if self._heap else longest
        ready = self._selector.select(0 if self._soon else wait)
        began = self.clock()
        if self._urgent and len(ready) > 1:
            ready.sort(key=lambda pair: pair[0].fileobj not in self._urgent)
        for key, events in ready:
            # An earlier call of this turn may have closed it, and its number may be another's by now.
            if self._keys.get(key.fd) is key:
                try:
                    key.data(events)
                except Exception:  # a fault in one connection must not take the others with it
                    self._fault()
        for _ in range(TIMERS_A_TURN):
            if not self._heap or self._heap[0][0] > began:
                break
            timer = heapq.heappop(self._heap)[2]
            if timer.call is not None:
                call, timer.call = timer.call, None  # cancelled from now on it counts for nothing
                self._call(call)
            else:
                self._cancelled -= 1
        for _ in range(len(self._soon)):
            self._call(self._soon.popleft())
        took = self.clock() - began
        self.late = took > LATE
        self.metrics.record_maximum("longest_turn_us", int(took * 1e6))

    def _call(self, call: Callable[[], None]) -> None:
        try:
            call()
        except Exception:
            self._fault()

    def _fault(self) -> None:
        self.metrics.add("faults")
        self.log.exception("fault")

    def close(self) -> None:
        if self._wake is not None:
            signal.set_wakeup_fd(-1)
            for number in self._signals:
                signal.signal(number, signal.SIG_DFL)
            self.forget(self._wake)
            self._wake.close()
            self._wake = None
        self._selector.close()
