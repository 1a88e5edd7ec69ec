"""When a call to discovery counts as broken, and when the next one is made. No I/O.

What a watch misses counts as told 6 s (`TOLD`) after it fell silent, whether it arrived or not. From its last byte on:

    SILENT                  2.5   an empty line comes every 2 s, so one is late
    WAITS[0] + OPENS[0]     1.2   the first new call: it does not come up, or comes up and says nothing
    WAITS[1] + OPENS[1]     1.2   the second one, to its first byte
                            4.9   which leaves a second for the list itself

Whatever was allowed after calls that failed, a change counts as told 6 s after discovery had it and could be reached.
From its return on, at worst:

    OPENS[-1]               2.5   a call begun just before, which is never answered
    PATIENT + CONNECT       1.4   the next one does not come up
    PATIENT                 0.4   and the next is answered
                            4.3   or, where calls were refused at once, WAITS[-1] + CONNECT + PATIENT: 2.9

A list that trickles is given up `WHOLE` after it was asked for. Silence longer than that is discovery's own: calls are
then made less and less often, with full jitter, and each is given longer, since a crowded discovery that answers in 2 s
would otherwise be left unheard by all that ask it. A call that took its patience has spread them already.

    state   | begins with                  | ends with
    --------+------------------------------+-------------------------------------------------------------
    away    | the call before broke        | the wait is over: asking
    asking  | a connection is begun        | a byte: hearing; not up in CONNECT, or OPENS without a byte: away
    hearing | a byte                       | SILENT without one, an object open for OBJECT; of the whole list LIST
            |                              | without one, or WHOLE since it was asked for: away

A watch that was heard and stood for `STOOD` has mended what was broken before; so has a list that is told. One that
opens, says an empty line and ends again at once has not: it would be asked for without any pause."""

from __future__ import annotations

import random

TOLD = 6.0
SILENT = 2.5  # s between two bytes of a watch
OBJECT = 1.0  # s from an object's first byte to its last: empty lines inside it are no signs of life
LIST = 1.0  # s between two bytes of the whole list
WHOLE = 3.0  # s from asking for it to its last byte
STOOD = 1.0  # s
WAITS = (0.2, 0.2, 0.5, 1.0, 1.5)  # s at most before the first new call, the second, ...; the last holds on
PATIENT = 0.4  # s at most of that where the call before took CONNECT or more
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
        self._open = 0.0  # since when an object is open; 0 = none is

    def moved(self) -> None:
        """Discovery is elsewhere: what failed before says nothing of it."""
        self._failed, self._slow = 0, False

    def asking(self, now: float, whole: bool) -> None:
        """A connection is begun, for the whole list or for a watch."""
        self._began = self._last = now
        self._up, self._hearing, self._whole, self._open = False, False, whole, 0.0

    def connected(self) -> None:
        self._up = True

    def heard(self, now: float) -> None:
        """A byte came, of the answer's head or its body."""
        if not self._hearing and not self._whole:
            self._slow = now - self._began >= OPENS[0]
        self._hearing, self._last = True, now

    def holds(self, part: bool, now: float) -> None:
        """Whether a part of an object is held whose end has not come."""
        self._open = (self._open or now) if part else 0.0

    def told(self) -> None:
        """A list, or a change of it."""
        self._failed = 0

    def due(self) -> float:
        """When this call is broken unless something is heard before."""
        if self._hearing and self._whole:
            return min(self._last + LIST, self._began + WHOLE)
        if self._hearing:
            return min(self._last + SILENT, self._open + OBJECT) if self._open else self._last + SILENT
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
        if now - self._began >= CONNECT:
            wait = min(wait, PATIENT)
        self._failed += 1
        return self._rng.uniform(0.0, wait)
