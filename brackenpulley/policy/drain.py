"""Drain: whether this ingress takes clients, keeps their connections and says yes to the front. No I/O."""

from __future__ import annotations

from collections.abc import Callable


class DrainState:
    """In service, out of service by the operators' word or for agreed work, or ending; the ways out add up.

    Out of service: /ready says no at once, every answer ends its connection, idle connections are closed, and
    what is taken is still served. In service again: yes at once. Ending is for good."""

    __slots__ = ("out_of_service", "out_for_maintenance", "is_ending", "has_opened")

    def __init__(self) -> None:
        self.out_of_service = False  # the operators took it out of service
        self.out_for_maintenance = False  # its host goes out for work, as agreed with the others
        self.is_ending = False  # SIGTERM came
        self.has_opened = False  # it has been able to serve once

    def accepts(self, able: Callable[[], bool]) -> bool:
        """Whether a message is tried, or refused at once.

        Before this process could first serve, nobody was told to send to it: what comes then is what
        clients held for a predecessor at this address (a crashed one, or one without a list yet), sent
        again with the time it had left at first. Its age cannot be known here, so it is answered at once,
        not late."""
        self.has_opened = self.has_opened or able()
        return self.has_opened

    @property
    def is_draining(self) -> bool:
        """No new work is wanted: answers end their connections, idle ones are closed."""
        return self.is_ending or self.out_of_service or self.out_for_maintenance

    def is_ready(self, able: bool) -> bool:
        """What /ready says, where `able` tells that a list of servers is in hand."""
        return able and not self.is_draining
