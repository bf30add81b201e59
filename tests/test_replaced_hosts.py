"""Failure domains whose hosts are replaced for good, one after the other."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from eelgrassyard.dispatch._host_directory import DEPARTURE_S
from eelgrassyard.dispatch._messages import HostRecord
from replaced_hosts import ENTRY_LEASE_S, STORE, ReplacingWorld

SETTLING_S = 10.0
MEASURED_S = 10.0
MIN_SERVED = 0.98
"""Share of the short jobs that a domain serves in which nothing was ever replaced."""


def _leaders(world: ReplacingWorld) -> list[str]:
    return world.leaders("d0")[:1] or world.alive()[:1]


def _one_by_chance(world: ReplacingWorld) -> list[str]:
    return [world.random.choice(sorted(world.alive()))]


def _two_by_chance(world: ReplacingWorld) -> list[str]:
    return world.random.sample(sorted(world.alive()), 2)


def _check_serves_as_before(world: ReplacingWorld) -> None:
    """Check a domain long after the last replacement."""
    world.run(SETTLING_S)
    began_at = world.now
    world.run(MEASURED_S)
    ended_at = world.now
    world.run(3.0)
    assert len(world.leaders("d0")) == 1
    assert world.lead_changes(began_at) == 0
    assert world.share_served(began_at, ended_at) >= MIN_SERVED
    assert world.violations == []


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("new_names", ["first", "last"])
@pytest.mark.parametrize(
    ("choose", "hosts", "times"),
    [(_leaders, 3, 16), (_one_by_chance, 3, 24), (_two_by_chance, 4, 8)],
    ids=["leaders", "by chance", "two of four"],
)
def test_a_domain_serves_after_any_number_of_replaced_hosts(
    choose: Callable[[ReplacingWorld], list[str]],
    hosts: int,
    times: int,
    new_names: str,
    seed: int,
) -> None:
    """Guards against hosts that look for a leader only among hosts that have gone, and lead each
    for itself: tasks run twice, and a quarter of the jobs is served from then on (review/6)."""
    world = ReplacingWorld(seed=seed, hosts=hosts, new_names=new_names)
    world.run(2.0)
    world.send_jobs()
    for _ in range(times):
        world.replace(choose(world))
    _check_serves_as_before(world)


def _replace_leaders(world: ReplacingWorld, domain: str, times: int) -> None:
    for _ in range(times):
        world.replace(world.leaders(domain)[:1] or world.alive(domain)[:1])


def test_hosts_forget_those_that_have_departed() -> None:
    """Guards against state, messages and attempts to connect that grow with the hosts that ever
    lived, and against a departed host that comes back through another host's list."""
    world = ReplacingWorld(seed=1)
    world.run(2.0)
    _replace_leaders(world, "d0", 20)
    world.run(ENTRY_LEASE_S + 2 * DEPARTURE_S)
    known = [set(world.core(name).dump()["hosts"]) for name in world.alive()]
    assert known == [set(world.alive()) - {name} for name in world.alive()]


def test_the_leader_of_another_domain_is_found_among_replaced_hosts() -> None:
    """Guards against a leader that looks for the leader of another domain among all hosts that it
    ever had, half a second each, and lends it nothing meanwhile."""
    world = ReplacingWorld(seed=2, domains=2)
    world.run(2.0)
    _replace_leaders(world, "d1", 20)
    world.run(2.0)
    (leader,) = world.leaders("d0")
    (other,) = world.leaders("d1")
    link = world.core(leader).links.link_by_name.get(other)
    assert link is not None and link.is_alive()


def test_nothing_is_forgotten_while_the_store_is_out() -> None:
    """Guards against hosts that take each other for gone since the store does not list them: their
    entries lapsed while it was out, and are back within two seconds of its return."""
    world = ReplacingWorld(seed=3, hosts=4)
    world.run(2.0)
    (leader,) = world.leaders("d0")
    world.store_up = False
    world.run(3 * DEPARTURE_S)
    world.send_jobs()
    world.remove(leader)
    world.run(3.0)
    (second,) = world.leaders("d0")
    world.store_up = True
    world.run(2.0)
    assert world.leaders("d0") == [second]
    world.remove(second)
    _check_serves_as_before(world)


def test_a_host_cut_off_from_the_store_alone_finds_the_next_leader() -> None:
    """Guards against a host that the store does not list and that reads no entries: it is no less
    a host of its domain, and must neither lead for itself nor wait for hosts that have gone."""
    world = ReplacingWorld(seed=4)
    world.run(2.0)
    (leader,) = world.leaders("d0")
    cut_off = next(name for name in world.alive() if name != leader)
    world.cut_paths.add(frozenset((cut_off, STORE)))
    world.send_jobs()
    for _ in range(12):
        world.replace([name for name in world.leaders("d0") if name != cut_off][:1])
        world.run(0.4)
    world.run(DEPARTURE_S)
    _check_serves_as_before(world)
    (leader,) = world.leaders("d0")
    assert all(world.core(name).leadership.leader.name == leader for name in world.alive())


def test_followers_are_told_of_each_other_while_the_store_is_out() -> None:
    """Guards against followers that joined the leader one after the other, do not know each other,
    and lead each for itself once it is lost."""
    world = ReplacingWorld(seed=6, hosts=1)
    world.run(2.0)
    world.store_up = False
    world.entry_ends_at.clear()
    for _ in range(3):
        name = world.add()
        core = world.core(name)
        core.leadership.hosts_known = False
        core.set_seeds(world.now, ["d0-h0"])
        world.run(0.5)
    for name in world.alive():
        others = set(world.alive()) - {name}
        assert others <= set(world.core(name).dump()["hosts"])
    world.send_jobs()
    world.remove("d0-h0")
    _check_serves_as_before(world)


@pytest.mark.parametrize("silent", [True, False])
def test_a_large_domain_replaces_its_leader_at_once(silent: bool) -> None:
    """Guards against hosts that wait for the answers of more hosts than they ask at a time."""
    world = ReplacingWorld(seed=7, hosts=14)
    world.run(2.0)
    (leader,) = world.leaders("d0")
    lost_at = world.now
    if silent:
        world.remove(leader)
    else:
        world.kill(leader, silent=False)
    world.run(0.6)
    assert len(world.leaders("d0")) == 1
    assert world.lead_changes(lost_at) == 1


def test_a_returned_address_belongs_to_the_latest_host() -> None:
    """Guards against a peer's outdated list that replaces a new host by the departed one that had
    its address."""
    world = ReplacingWorld(seed=5)
    world.run(1.0)
    directory = world.core("d0-h0").directory
    new = HostRecord(name="d0-new", address="10.0.0.9:1", domain="d0", incarnation=9)
    old = HostRecord(name="d0-old", address="10.0.0.9:1", domain="d0", incarnation=3)
    assert directory.add(world.now, new)
    assert not directory.add(world.now, old)
    assert directory.get("d0-new") == new and directory.get("d0-old") is None
    # The host itself knows its address, whatever the clocks of the two say.
    assert directory.heard(world.now, old)
    assert directory.get("d0-new") is None


def _inject(world: ReplacingWorld, kind: str) -> None:
    """Inject a fault that ends within some seconds, beside the others."""
    rng = world.random
    alive = sorted([*world.alive("d0"), *world.alive("d1")])
    name = rng.choice(alive)
    seconds = rng.uniform(0.5, 6.0)
    match kind:
        case "replace":
            domain = world.host_by_name[name].record.domain
            gone = (world.leaders(domain) or [name])[:1] if rng.random() < 0.5 else [name]
            for each in gone:
                world.remove(each)
                world.at(rng.uniform(0.3, 2.0), lambda: world.add(domain))
        case "restart":
            world.kill(name, silent=rng.random() < 0.5)
            world.at(seconds / 3, lambda: world.boot(name) if name not in world.removed else None)
        case "freeze":
            world.freeze(name, seconds)
        case "store out":
            world.store_up = False
            if rng.random() < 0.5:
                world.entry_ends_at.clear()
            world.at(2 * seconds, lambda: setattr(world, "store_up", True))
        case "cut":
            others = (
                [STORE] if rng.random() < 0.3 else rng.sample(alive, rng.randint(1, len(alive)))
            )
            pairs = {frozenset((name, other)) for other in others if other != name}
            world.cut_paths |= pairs
            world.at(seconds, lambda: world.cut_paths.difference_update(pairs))


@pytest.mark.parametrize("seed", range(6))
def test_replaced_hosts_beside_other_faults(seed: int) -> None:
    """Guards against runs of one task at once and against a domain that does not recover, when
    hosts are replaced, restarted, frozen and cut off in series that overlap, and the store is out
    or refuses some."""
    world = ReplacingWorld(seed=seed, domains=2, new_names=("first", "last")[seed % 2])
    world.run(2.0)
    world.send_jobs()
    for _ in range(30):
        kind = world.random.choice(["replace", "replace", "restart", "freeze", "store out", "cut"])
        if len(world.alive("d0")) > 1 and len(world.alive("d1")) > 1:
            _inject(world, kind)
        world.run(world.random.uniform(0.1, 1.5))
    world.run(5.0)
    _check_serves_as_before(world)
