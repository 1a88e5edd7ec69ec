"""Timeouts and back-off of the calls to discovery. No I/O; used by `inventory.Discovery`.

A change that a broken watch misses counts as delivered MISSED_CHANGE_DEADLINE_SECONDS (6 s) after the watch fell
silent, whether it arrived or not. In seconds from the watch's last byte on, with constants named without _SECONDS:

    SILENCE_TIMEOUT                     2.5   an empty line comes every 2 s, so one is late
    BACKOFFS[0] + OPEN_TIMEOUTS[0]      1.2   first new call: the connect fails, or no byte comes
    BACKOFFS[1] + OPEN_TIMEOUTS[1]      1.2   second new call, to its first byte
                                        4.9   which leaves a second for the list itself

However many calls failed before, a change counts as delivered 6 s after discovery had it and became reachable. In
seconds from its recovery on, in the worst case:

    OPEN_TIMEOUTS[-1]                   2.5   a call started just before the recovery is never answered
    TIMEOUT_BACKOFF + CONNECT_TIMEOUT   1.4   the next one does not connect
    TIMEOUT_BACKOFF                     0.4   the one after it is answered
                                        4.3   or, where calls were refused at once,
                                              BACKOFFS[-1] + CONNECT_TIMEOUT + TIMEOUT_BACKOFF: 2.9

A list that comes too slowly is abandoned LIST_TIMEOUT after it was requested. Longer silence is discovery's own
failure: calls then become less frequent, with full jitter, and each is given more time, since an overloaded discovery
that answers in 2 s would otherwise be given up by every caller. A call that timed out is already spread in time, so it
needs a shorter back-off.

    state       | begins when                 | ends when
    ------------+-----------------------------+--------------------------------------------------------------
    waiting     | the previous call failed    | the back-off is over: opening
    opening     | a connect is started        | a byte comes: receiving; no connect in CONNECT_TIMEOUT, or no
                |                             | byte in OPEN_TIMEOUTS: waiting
    receiving   | a byte comes                | SILENCE_TIMEOUT without a byte, or an object open for
                |                             | OBJECT_TIMEOUT; of the whole list LIST_SILENCE_TIMEOUT without a
                |                             | byte, or LIST_TIMEOUT since the request: waiting

A watch that received bytes and lasted STABLE_SECONDS resets the count of failures; so does an applied list. A watch
that opens, sends an empty line and ends at once does not: it would be reopened without any pause."""

from __future__ import annotations

import random

MISSED_CHANGE_DEADLINE_SECONDS = 6.0
SILENCE_TIMEOUT_SECONDS = 2.5  # between two bytes of a watch
OBJECT_TIMEOUT_SECONDS = 1.0  # from an object's first byte to its last: empty lines inside it are no heartbeat
LIST_SILENCE_TIMEOUT_SECONDS = 1.0  # between two bytes of the whole list
LIST_TIMEOUT_SECONDS = 3.0  # from the request for the whole list to its last byte
STABLE_SECONDS = 1.0  # after which a watch resets the count of failures
BACKOFFS_SECONDS = (0.2, 0.2, 0.5, 1.0, 1.5)  # longest wait after the first failure, the second, ...; the last repeats
TIMEOUT_BACKOFF_SECONDS = 0.4  # longest wait after a call that took CONNECT_TIMEOUT_SECONDS or more
OPEN_TIMEOUTS_SECONDS = (1.0, 1.0, 2.0, 2.5)  # from the start of a call to its first byte, by failures in a row
CONNECT_TIMEOUT_SECONDS = 1.0  # constant: a connect that never succeeds is not a sign of an overloaded discovery


class WatchSchedule:
    """Deadlines and back-off of one call to discovery after another. Times are the caller's clock, in seconds."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failure_count = 0  # in a row
        self._is_slow_to_open = False  # discovery sends no head before its first line, so the wait is a line's interval
        self._started_at = 0.0
        self._last_byte_at = 0.0
        self._is_connected = False
        self._is_receiving = False
        self._is_full_list = False  # the call asks for the whole list, else it is a watch
        self._object_since = 0.0  # since when an object is open; 0 = none is

    def reset(self) -> None:
        """Forget failures, since discovery has another address now."""
        self._failure_count, self._is_slow_to_open = 0, False

    def start_call(self, now: float, is_full_list: bool) -> None:
        """Record the start of a connect, for the whole list or for a watch."""
        self._started_at = self._last_byte_at = now
        self._is_connected, self._is_receiving, self._is_full_list, self._object_since = False, False, is_full_list, 0.0

    def set_connected(self) -> None:
        """Record that the connect succeeded."""
        self._is_connected = True

    def record_byte(self, now: float) -> None:
        """Record that a byte of the response's head or body came."""
        if not self._is_receiving and not self._is_full_list:
            self._is_slow_to_open = now - self._started_at >= OPEN_TIMEOUTS_SECONDS[0]
        self._is_receiving, self._last_byte_at = True, now

    def set_object_open(self, is_open: bool, now: float) -> None:
        """Record whether an object has begun and not ended yet."""
        self._object_since = (self._object_since or now) if is_open else 0.0

    def record_list(self) -> None:
        """Record that a list, or a change of it, was applied."""
        self._failure_count = 0

    def next_deadline(self) -> float:
        """Return when this call fails unless a byte comes before."""
        if self._is_receiving and self._is_full_list:
            return min(self._last_byte_at + LIST_SILENCE_TIMEOUT_SECONDS, self._started_at + LIST_TIMEOUT_SECONDS)
        if self._is_receiving:
            return (
                min(self._last_byte_at + SILENCE_TIMEOUT_SECONDS, self._object_since + OBJECT_TIMEOUT_SECONDS)
                if self._object_since
                else self._last_byte_at + SILENCE_TIMEOUT_SECONDS
            )
        if not self._is_connected:
            return self._started_at + CONNECT_TIMEOUT_SECONDS
        timeout = OPEN_TIMEOUTS_SECONDS[min(max(self._failure_count - 1, 0), len(OPEN_TIMEOUTS_SECONDS) - 1)]
        return self._started_at + (
            max(timeout, SILENCE_TIMEOUT_SECONDS) if self._is_slow_to_open and not self._is_full_list else timeout
        )

    def record_failure(self, now: float) -> float:
        """Record the end of the call, whatever the cause, and return the seconds until the next one.

        Full jitter: many ingresses that reconnect in step would keep an overloaded discovery overloaded."""
        if self._is_receiving and not self._is_full_list and now - self._started_at >= STABLE_SECONDS:
            self._failure_count = 0
        max_wait = BACKOFFS_SECONDS[min(self._failure_count, len(BACKOFFS_SECONDS) - 1)]
        if now - self._started_at >= CONNECT_TIMEOUT_SECONDS:
            max_wait = min(max_wait, TIMEOUT_BACKOFF_SECONDS)
        self._failure_count += 1
        return self._rng.uniform(0.0, max_wait)
