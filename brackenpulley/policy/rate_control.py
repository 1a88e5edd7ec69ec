"""Rate control of one class by latency, after Welsh and Culler, "Adaptive Overload Control for Busy Internet Servers"
(2003): figure 4 and, between classes, section 3.3. No I/O and no clock; `brain` owns one controller for each class.
"""

from __future__ import annotations

from . import interface
from .state import ClassState

RUN_SAMPLES = 100  # latencies after which the controller runs
RUN_SECONDS = 1.0  # time after which it runs anyway
SMOOTHING = 0.7  # weight of the previous value in the smoothed latency
RISE_ERROR = -0.5  # relative error below which the rate rises
CUT_FACTOR = 1.2  # divides the class's own rate
RISE_GAIN = 2.0  # messages a second for each unit of relative error
RISE_OFFSET = 0.1
LOWER_CUT_FACTOR = 10.0  # divides the rates of classes of lower worth
RUNS_BEFORE_OWN_CUT = 20  # runs without a lower class left to cut
RATE_MIN = 0.05  # messages a second
RATE_MAX = 5000.0
MIN_RUN_INTERVAL_SECONDS = 0.1  # a run that follows sooner counts as after this time


class RateController(ClassState):
    """Adjusts the rate of one class to keep the smoothed 90th percentile of its latencies at the target."""

    def __init__(self, spec: interface.ClassSpec, now: float) -> None:
        super().__init__(spec, now, RATE_MAX, RUN_SAMPLES)
        self.lower_worth = list[RateController]()

    def cut(self, factor: float) -> None:
        """Divides the rate by `factor`."""
        # From the admitted rate: cuts from an unused, much higher rate would have no effect for many runs.
        self.rate = max(RATE_MIN, min(self.rate, max(self.admitted_rate, 1.0)) / factor)

    def run(self, now: float, ages: list[float]) -> None:
        """Adjusts the rates. `ages`: of relays in flight that are past the target already, which count as latencies."""
        self.begin_run(now, MIN_RUN_INTERVAL_SECONDS)
        self.smoothed_latency = SMOOTHING * self.smoothed_latency + (1 - SMOOTHING) * self.compute_percentile(
            now - max(RUN_SECONDS, self.spec.aim), ages
        )
        # aim_stretch: the work that a message itself takes is unknown, so the mean latency stands in for it.
        target = min(self.spec.deadline, self.target + self.spec.aim_stretch * self.mean_latency)
        # With few relays in flight high latencies are caused by single servers, not by load.
        error = (self.smoothed_latency - target) / target if self.is_busy else -1.0
        was_barred, self.is_rise_barred, self.is_busy = self.is_rise_barred, False, False
        if error > 0:
            yielding = [lower for lower in self.lower_worth if lower.rate > RATE_MIN]
            for lower in self.lower_worth:
                lower.is_rise_barred = True
                lower.cut(LOWER_CUT_FACTOR)
            self.ineffective_runs += not yielding
            if not self.lower_worth or not yielding and self.ineffective_runs >= RUNS_BEFORE_OWN_CUT:
                self.cut(CUT_FACTOR)
        elif error < RISE_ERROR and not was_barred:
            self.ineffective_runs, self.rate = 0, min(RATE_MAX, self.rate - (error + RISE_OFFSET) * RISE_GAIN)
