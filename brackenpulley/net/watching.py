"""When a call to discovery counts as broken, and when the next one is made. No I/O.

What a watch misses counts as told 6 s (`TOLD`) after it fell silent, whether it arrived or not. From its last byte on:

    SILENT                  3.0   an empty line comes every 2 s, so one is missing and a second is late
    WAITS[0] + OPENS[0]     1.2   the first new call: it does not come up, or comes up and says nothing
    WAITS[1] + OPENS[1]     1.3   the second one, to its first byte
                            5.5   which leaves half a second for the list itself

Silence longer than that is discovery's own: calls are then made less and less often, with full jitter, and each is
given longer, since a crowded discovery that answers in 2 s would otherwise be left unheard by all that ask it.

    state   | begins with                  | ends with
    --------+------------------------------+-------------------------------------------------------------
    away    | the call before broke        | the wait is over: asking
    asking  | a connection is begun        | a byte: hearing; not up in CONNECT, or OPENS without a byte: away
    hearing | a byte                       | SILENT without one, or LIST where the whole list was asked for: away

A watch that was heard and stood for `STOOD` has mended what was broken before; so has a list that is told. One that
opens, says an empty line and ends again at once has not: it would be asked for without any pause."""

from __future__ import annotations

import random

TOLD = 6.0
SILENT = 3.0  # s between two bytes of a watch
LIST = 1.0  # s between two bytes of the whole list
STOOD = 1.0  # s
WAITS = (0.2, 0.3, 0.5, 1.0, 1.5)  # s at most before the first new call, the second, ...; the last holds on
OPENS = (1.0, 1.0, 2.0, 2.5)  # s to its first byte, the time that the connection takes to come up within
CONNECT = 1.0  # s for that, whatever failed before: one that never comes up is not a crowded discovery


class Watch:
    """Of one call after another. Times are the caller's clock, in s."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failed = 0  # calls in a row
        self._slow = False  # discovery says nothing before its first line, so a watch has to be given a line's time
        self._began = self._last = 0.0
        self._up = self._hearing = self._whole = False

    def asking(self, now: float, whole: bool) -> None:
        """A connection is begun, for the whole list or for a watch."""
        self._began = self._last = now
        self._up, self._hearing, self._whole = False, False, whole

    def connected(self) -> None:
        self._up = True

    def heard(self, now: float) -> None:
        """A byte came, of the answer's head or its body."""
        if not self._hearing and not self._whole:
            self._slow = now - self._began >= OPENS[0]
        self._hearing, self._last = True, now

    def told(self) -> None:
        """A list, or a change of it."""
        self._failed = 0

    def due(self) -> float:
        """When this call is broken unless something is heard before."""
        if self._hearing:
            return self._last + (LIST if self._whole else SILENT)
        if not self._up:
            return self._began + CONNECT
        patience = OPENS[min(max(self._failed - 1, 0), len(OPENS) - 1)]
        return self._began + (max(patience, SILENT) if self._slow and not self._whole else patience)

    def broken(self, now: float) -> float:
        """It broke, whatever the cause. Seconds until the next call, with full jitter: many ingresses that ask in step
        keep a crowded discovery crowded."""
        if self._hearing and not self._whole and now - self._began >= STOOD:
            self._failed = 0
        wait = WAITS[min(self._failed, len(WAITS) - 1)]
        self._failed += 1
        return self._rng.uniform(0.0, wait)
