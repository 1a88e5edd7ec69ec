"""A region's return: a third of the members cut off until the others have forgotten them, then let back."""

from __future__ import annotations

from benchmarks.membership import SimulatedNetwork, build_network
from brackenpulley.members.service import SEEK

from ..measure import REPEATS, Slope, slope

SIZES = (24, 48, 96, 168)
APART, PATIENCE = 80.0, 300.0  # s: longer than the dead are remembered; until all must know each other


def back(size: int, seed: int) -> dict[str, float]:
    """Each member looks for its seeds (one a third) as `members/service` does."""
    net: SimulatedNetwork = build_network(size, seed)
    side = {f"a{n}" for n in range(size) if n % 3 == 2}
    seeds = ["a0", "a1", "a2"]

    def seek(address: str) -> None:
        member = net.members[address]
        known = {one.address for one in member.alive_members()}
        missing = [seed for seed in seeds if seed not in known and seed != address]
        if missing:
            net.apply_effects(member, member.join([missing[int(net.now / SEEK) % len(missing)]]))
        net.schedule(net.now + SEEK, lambda: seek(address))

    for n, address in enumerate(list(net.members)):
        net.schedule(net.now + SEEK * n / size, lambda address=address: seek(address))  # type: ignore[misc]
    net.is_blocked = lambda a, b: (a in side) != (b in side)
    net.run(net.now + APART)
    net.is_blocked = lambda a, b: False
    healed, net.is_measuring = net.now, True
    net.sent_bytes.clear()
    most = 0.0
    while not net.has_converged() and net.now < healed + PATIENCE:
        net.run(net.now + 0.25)
        known = sum(len(member.alive_members()) + 1 for member in net.members.values()) / size**2
        most = most or (net.now - healed if known >= 0.99 else 0.0)
    return {
        "took": net.now - healed,
        "most": most or net.now - healed,
        "bytes": max(net.sent_bytes.values(), default=0),
    }


def measured(seed: int, sizes: tuple[int, ...] = SIZES) -> list[Slope]:
    found = {n: [back(n, seed + k) for k in range(REPEATS)] for n in sizes}

    def rows(name: str) -> list[tuple[float, list[float]]]:
        return [(n, [one[name] for one in some]) for n, some in found.items()]

    return [
        slope(
            "apart.took",
            "a third back after 80 s apart, until all know each other",
            "members",
            "s",
            rows("took"),
            source="virtual time",
            seed=seed,
        ),
        slope(
            "apart.most",
            "the same, until 99 in 100 pairs do",
            "members",
            "s",
            rows("most"),
            source="virtual time",
            seed=seed,
        ),
        slope(
            "apart.bytes",
            "bytes that the busiest member, a seed, sends until then",
            "members",
            "bytes",
            rows("bytes"),
            source="virtual time",
            seed=seed,
        ),
    ]
