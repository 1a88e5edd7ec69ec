"""Measures the return of a region: a third of the members is cut off until the others forget it, and then returns."""

from __future__ import annotations

from benchmarks.membership import SimulatedNetwork, build_network
from brackenpulley.members.service import SEEK

from ..measure import REPEATS, Slope, make_slope

SIZES = (24, 48, 96, 168)
PARTITION_SECONDS = 80.0  # longer than dead members are remembered
CONVERGENCE_TIMEOUT_SECONDS = 300.0  # until all members must know each other


def measure_return(size: int, seed: int) -> dict[str, float]:
    """Measures how long members take to know each other again, and the bytes that the busiest one sends.

    Each member retries its seeds, one in each third, as `members/service` does."""
    net: SimulatedNetwork = build_network(size, seed)
    isolated = {f"a{n}" for n in range(size) if n % 3 == 2}
    seeds = ["a0", "a1", "a2"]

    def rejoin(address: str) -> None:
        member = net.members[address]
        known_addresses = {peer.address for peer in member.alive_members()}
        missing = [seed for seed in seeds if seed not in known_addresses and seed != address]
        if missing:
            net.apply_effects(member, member.join([missing[int(net.now / SEEK) % len(missing)]]))
        net.schedule(net.now + SEEK, lambda: rejoin(address))

    for n, address in enumerate(list(net.members)):
        net.schedule(net.now + SEEK * n / size, lambda address=address: rejoin(address))  # type: ignore[misc]
    net.is_blocked = lambda a, b: (a in isolated) != (b in isolated)
    net.run(net.now + PARTITION_SECONDS)
    net.is_blocked = lambda a, b: False
    healed_at, net.is_measuring = net.now, True
    net.sent_bytes.clear()
    nearly_all_after = 0.0
    while not net.has_converged() and net.now < healed_at + CONVERGENCE_TIMEOUT_SECONDS:
        net.run(net.now + 0.25)
        known_part = sum(len(member.alive_members()) + 1 for member in net.members.values()) / size**2
        nearly_all_after = nearly_all_after or (net.now - healed_at if known_part >= 0.99 else 0.0)
    return {
        "took": net.now - healed_at,
        "most": nearly_all_after or net.now - healed_at,
        "bytes": max(net.sent_bytes.values(), default=0),
    }


def measure_slopes(seed: int, sizes: tuple[int, ...] = SIZES) -> list[Slope]:
    """Measures each size and returns the slopes of this kind."""
    measurements = {n: [measure_return(n, seed + k) for k in range(REPEATS)] for n in sizes}

    def collect_points(name: str) -> list[tuple[float, list[float]]]:
        return [(n, [repeat[name] for repeat in repeats]) for n, repeats in measurements.items()]

    return [
        make_slope(
            "apart.took",
            "a third back after 80 s apart, until all know each other",
            "members",
            "s",
            collect_points("took"),
            source="virtual time",
            seed=seed,
        ),
        make_slope(
            "apart.most",
            "the same, until 99 in 100 pairs do",
            "members",
            "s",
            collect_points("most"),
            source="virtual time",
            seed=seed,
        ),
        make_slope(
            "apart.bytes",
            "bytes that the busiest member, a seed, sends until then",
            "members",
            "bytes",
            collect_points("bytes"),
            source="virtual time",
            seed=seed,
        ),
    ]
