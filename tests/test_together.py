"""Two troubles at once, without the bench."""

from brackenpulley.policy.interface import (
    AddToCounter,
    CounterResult,
    Outcome,
    Refuse,
    Send,
    ServerEntry,
    ServerList,
    TimerFired,
)

from .util import Driver, select


def test_counter_lost_while_half_the_fleet_goes_silent() -> None:
    """A hall takes the counter with it: customers keep their share, servers left keep working, all are answered."""
    d = Driver(servers=8)
    done: set[str] = set()
    for _ in range(400):
        d.now += 0.05
        d.actions.clear()
        d.send_message("check", firm=1, spread=3)
        d.handle(TimerFired(d.decision_module.timer_token))
        for act in list(d.actions):
            if isinstance(act, AddToCounter):
                d.handle(CounterResult(act.name, "timeout"))
            elif isinstance(act, Send) and int(act.server[1]) % 2 == 1:
                d.handle(
                    Outcome(
                        act.id, act.server, d.decision_module.messages[act.id].attempts - 1, "ok", 0.05, closed=True
                    )
                )
                done.add(act.id)
    assert sum(s.is_ejected for s in d.decision_module.servers.values()) >= 3
    assert 10 / 3 * 20 * 0.5 < len(done) < 10 / 3 * 20 * 1.5  # the even share over 20 s


def test_restart_in_a_flood_spends_neither_ceiling_nor_cold_server() -> None:
    from brackenpulley.policy.interface import PlanSpec

    plan = PlanSpec("gold", rate=10.0, burst=20.0, ceiling_rate=15.0, ceiling_burst=30.0)
    d = Driver(servers=0, plans=[plan])
    d.handle(ServerList("stale", [ServerEntry("s0", started=d.now - 0.5), ServerEntry("s1")]))
    for _ in range(100):
        d.send_message(firm=1, spread=3)
    assert not select(Send, d.actions) and len(select(Refuse, d.actions)) == 100
    for _ in range(40):
        d.now += 0.05
        for _ in range(10):
            d.send_message(firm=1, spread=3)
    sends = select(Send, d.actions)
    assert 0 < len(sends) <= 15.0 / 3 * 2 + 1
    assert sum(a.server == "s0" for a in sends) <= 1
