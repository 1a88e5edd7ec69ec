"""Drain: whether this ingress takes clients, keeps their connections and says yes to the front. No I/O."""

from __future__ import annotations


class Drain:
    """In service, out of service by the operators' word, or ending after SIGTERM; the two ways out add up.

    Out of service: /ready says no at once, every answer ends its connection, idle connections are closed, and what
    is taken is still served. In service again: yes at once. Ending is for good."""

    __slots__ = ("out_since", "ending")

    def __init__(self) -> None:
        self.out_since: float | None = None  # when the operators took it out of service
        self.ending = False

    def out_of_service(self, now: float) -> None:
        if self.out_since is None:
            self.out_since = now

    def in_service(self) -> None:
        self.out_since = None

    def end(self) -> None:
        self.ending = True

    @property
    def draining(self) -> bool:
        """No new work is wanted: answers end their connections, idle ones are closed."""
        return self.ending or self.out_since is not None

    def ready(self, able: bool) -> bool:
        """What /ready says, where `able` tells that a list of servers is in hand."""
        return able and not self.draining
