"""Two faults at the same time."""

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


def test_counter_lost_while_half_of_the_servers_are_silent() -> None:
    """A zone fails together with the counter: firms keep their even share at the remaining servers."""
    driver = Driver(servers=8)
    answered: set[str] = set()
    for _ in range(400):
        driver.now += 0.05
        driver.actions.clear()
        driver.send_message("check", firm=1, spread=3)
        driver.handle(TimerFired(driver.decision_module.timer_token))
        for action in list(driver.actions):
            if isinstance(action, AddToCounter):
                driver.handle(CounterResult(action.name, "timeout"))
            elif isinstance(action, Send) and int(action.server[1]) % 2 == 1:
                driver.handle(
                    Outcome(
                        action.id,
                        action.server,
                        driver.decision_module.messages[action.id].attempts - 1,
                        "ok",
                        0.05,
                        closed=True,
                    )
                )
                answered.add(action.id)
    assert sum(s.is_ejected for s in driver.decision_module.servers.values()) >= 3
    assert 10 / 3 * 20 * 0.5 < len(answered) < 10 / 3 * 20 * 1.5  # the even share over 20 s


def test_a_restart_under_overload_exceeds_neither_ceiling_nor_cold_budget() -> None:
    from brackenpulley.policy.interface import PlanSpec

    plan = PlanSpec("gold", rate=10.0, burst=20.0, ceiling_rate=15.0, ceiling_burst=30.0)
    driver = Driver(servers=0, plans=[plan])
    driver.handle(ServerList("stale", [ServerEntry("s0", started=driver.now - 0.5), ServerEntry("s1")]))
    for _ in range(100):
        driver.send_message(firm=1, spread=3)
    assert not select(Send, driver.actions) and len(select(Refuse, driver.actions)) == 100
    for _ in range(40):
        driver.now += 0.05
        for _ in range(10):
            driver.send_message(firm=1, spread=3)
    sends = select(Send, driver.actions)
    assert 0 < len(sends) <= 15.0 / 3 * 2 + 1
    assert sum(a.server == "s0" for a in sends) <= 1
