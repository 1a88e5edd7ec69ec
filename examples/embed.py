"""Embeds the decision module in a program: six messages of one firm, one server, no network."""

from brackenpulley.policy.brain import DecisionModule
from brackenpulley.policy.interface import (
    ClassSpec,
    MessageReceived,
    Outcome,
    PlanSpec,
    Refuse,
    Send,
    ServerEntry,
    ServerList,
    SetTimer,
    Settings,
)


def main() -> list[str]:
    """Returns one line for each decision."""
    settings = Settings(
        classes=[ClassSpec("read", aim=0.5, deadline=2.0, worth=1.0, effect="safe")],
        plans=[PlanSpec("basic", rate=2.0, burst=4.0)],
    )
    decision_module, now, report = DecisionModule(settings, seed=1, now=0.0), 0.0, []
    actions = decision_module.handle(now, ServerList("full", [ServerEntry("server-1")]))
    for n in range(6):
        actions += decision_module.handle(now, MessageReceived(f"r{n}", "read", "basic", firm=7, time_left=2.0))
    for action in actions:
        match action:
            case Send():
                report.append(f"{action.id} goes to {action.server}")
                outcome = Outcome(action.id, action.server, 0, "ok", latency=0.05, closed=True)
                decision_module.handle(now + 0.05, outcome)
            case Refuse():
                report.append(f"{action.id} is refused")
            case SetTimer():
                pass  # a real program passes TimerFired(token) after the delay
    return report


if __name__ == "__main__":
    print("\n".join(main()))
