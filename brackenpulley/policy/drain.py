"""Drain state of an ingress: whether it accepts messages, keeps connections and reports ready. No I/O."""

from __future__ import annotations

from collections.abc import Callable


class DrainState:
    """In service, out of service (by an operator or for maintenance), about to be stopped, or shutting down.

    The reasons to drain are independent; the ingress is in service when none of them holds. While it drains, /ready
    reports 503, each answer closes its connection, and messages that were accepted are still served. Idle connections
    are closed too, but not for a stop that is only announced: until the load balancer in front has noticed, clients
    still use them, and a message that meets a close has no answer. Shutting down is final.
    """

    __slots__ = ("out_of_service", "out_for_maintenance", "stop_announced", "is_ending", "has_opened")

    def __init__(self) -> None:
        self.out_of_service = False  # by an operator
        self.out_for_maintenance = False  # its host is out for maintenance agreed with the other ingresses
        self.stop_announced = False  # by the supervisor: SIGTERM follows after its notice period
        self.is_ending = False  # SIGTERM was received
        self.has_opened = False  # it has been able to serve at least once

    def accepts(self, is_able: Callable[[], bool]) -> bool:
        """Returns whether a message is tried; otherwise it is refused at once.

        Before this process can serve for the first time no client was told to use it. Messages that arrive then were
        held for a predecessor at this address, which crashed or had no inventory yet, and were sent again with the
        time that they had left at first. Their age is unknown, so they are refused at once instead of served too late.
        """
        self.has_opened = self.has_opened or is_able()
        return self.has_opened

    @property
    def is_draining(self) -> bool:
        """No new work is wanted: answers close their connections."""
        return self.stop_announced or self.closes_idle

    @property
    def closes_idle(self) -> bool:
        """Idle connections are closed as well."""
        return self.is_ending or self.out_of_service or self.out_for_maintenance

    def is_ready(self, is_able: bool) -> bool:
        """Returns what /ready reports. `is_able`: an inventory is present."""
        return is_able and not self.is_draining
