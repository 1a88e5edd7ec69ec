"""The module inside a program of one's own: one request, one server, no wire."""

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
    settings = Settings(
        classes=[ClassSpec("read", aim=0.5, deadline=2.0, worth=1.0, effect="safe")],
        plans=[PlanSpec("basic", rate=2.0, burst=4.0)],
    )
    gateway, now, story = DecisionModule(settings, seed=1, now=0.0), 0.0, []
    todo = gateway.handle(now, ServerList("full", [ServerEntry("server-1")]))
    for n in range(6):
        todo += gateway.handle(now, MessageReceived(f"r{n}", "read", "basic", firm=7, time_left=2.0))
    for action in todo:
        match action:
            case Send():
                story.append(f"{action.id} goes to {action.server}")
                done = Outcome(action.id, action.server, 0, "ok", latency=0.05, closed=True)
                gateway.handle(now + 0.05, done)
            case Refuse():
                story.append(f"{action.id} is refused")
            case SetTimer():
                pass  # a real program hands Timer(token) back after the delay
    return story


if __name__ == "__main__":
    print("\n".join(main()))
