"""Membership of several cores in virtual time."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from bench.store_site import EPOCH, StoreSite, make_config

from eelgrassyard.policy import (
    Action,
    Core,
    DrainCalled,
    Goodbye,
    HostEntry,
    HostIdentity,
    HostListRead,
    ListedHost,
    MemberState,
    MemberUpdate,
    PeerFailed,
    PeerReceived,
    Ping,
    ReadinessChanged,
    Send,
)
from eelgrassyard.policy._rendezvous import choose

OLD, NEW = 1_000_000, 2_000_000


def start_site(hosts: int = 9, domains: int = 3, **options: float) -> StoreSite:
    site = StoreSite(config=make_config(hosts, domains), seed=1, hosts_named=False, **options)
    site.start_all()
    site.run_for(3.0)
    return site


def membership_views(site: StoreSite) -> set[tuple[str, ...]]:
    return {tuple(core.membership.alive_hosts()) for core in site.running().values()}


def make_core(name: str = "d0-0", incarnation: int = OLD) -> Core:
    identity = HostIdentity(
        name=name,
        address="10.0.0.1",
        port=7000,
        failure_domain="d0",
        incarnation=incarnation,
        id_key=b"k" * 32,
    )
    return Core(identity=identity, seed=1)


def update(name: str = "d0-1", **fields: object) -> MemberUpdate:
    defaults = MemberUpdate(
        name=name,
        address="10.0.0.2",
        port=7000,
        failure_domain="d0",
        incarnation=OLD,
        counter=0,
        state=MemberState.ALIVE,
    )
    return replace(defaults, **fields)  # type: ignore[arg-type]


def ping(*updates: MemberUpdate, sender: str = "d0-1", incarnation: int = OLD) -> PeerReceived:
    message = Ping(sequence=1, revision=0, updates=updates)
    return PeerReceived(sender=sender, incarnation=incarnation, message=message)


def test_hosts_that_start_together_find_each_other():
    """Guards against hosts that do not find each other and both schedule the same pool."""
    site = start_site()
    assert membership_views(site) == {tuple(sorted(site.host_by_name))}
    assert len({core.membership.scheduler_for("p") for core in site.running().values()}) == 1


def test_failure_is_known_everywhere_and_restart_is_a_new_incarnation():
    """Guards against a failed host that keeps its pools, or a restart taken for the old process."""
    site = start_site()
    old = site.running()["d1-1"].identity.incarnation
    site.kill("d1-1")
    site.run_for(4.0)
    assert all("d1-1" not in view for view in membership_views(site))
    site.start("d1-1")
    site.run_for(1.0)
    for core in site.running().values():
        assert core.membership.is_alive("d1-1")
        assert core.membership.is_dead("d1-1", old)
        assert not core.membership.is_alive("d1-1", old)


def test_restart_before_the_failure_is_detected_ends_the_old_incarnation():
    """Guards against submissions of the old process that wait for a suspicion timeout."""
    site = start_site()
    old = site.running()["d1-1"].identity.incarnation
    site.kill("d1-1")
    site.start("d1-1")
    site.run_for(0.2)
    assert all(core.membership.is_dead("d1-1", old) for core in site.running().values())


def test_new_name_at_an_old_endpoint_ends_the_old_host():
    """Guards against a replaced host that stays a scheduler until its suspicion times out."""
    core = make_core()
    core.tick(1.0, [ping(update())])
    assert core.membership.is_alive("d0-1")
    successor = update("d0-9", incarnation=NEW)
    core.tick(1.1, [ping(successor, sender="d0-9", incarnation=NEW)])
    assert core.membership.is_dead("d0-1", OLD)
    assert core.membership.alive_hosts() == ("d0-0", "d0-9")
    core.tick(1.2, [ping(update(counter=7))])
    assert not core.membership.is_alive("d0-1")


def test_stale_host_list_does_not_change_which_hosts_are_alive():
    """Guards against a lagging host list that overrides the results of probes."""
    site = start_site()
    site.kill("d1-1")
    site.run_for(4.0)
    all_listed = [ListedHost(host=h.entry, leaving=False) for h in site.host_by_name.values()]
    wrong_list = HostListRead(
        hosts=tuple(listed for listed in all_listed if listed.host.name != "d0-1"), upstreams=()
    )
    for name in site.running():
        site.deliver(name, wrong_list)
        assert not site.running()[name].membership.is_alive("d1-1")
    site.run_for(10.0)
    assert membership_views(site) == {tuple(sorted(site.running()))}


def test_host_wrongly_listed_as_leaving_refutes_it():
    """Guards against a stale list on one host that makes a serving host leave for good."""
    site = start_site()
    all_listed = [ListedHost(host=h.entry, leaving=False) for h in site.host_by_name.values()]
    wrong_list = [replace(listed, leaving=listed.host.name == "d0-1") for listed in all_listed]
    site.deliver("d2-1", HostListRead(hosts=tuple(all_listed), upstreams=()))
    site.deliver("d2-1", HostListRead(hosts=tuple(wrong_list), upstreams=()))
    site.run_for(3.0)
    assert not any(core.membership.is_leaving("d0-1") for core in site.running().values())


def test_host_listed_as_leaving_everywhere_is_leaving():
    """Guards against pools that are scheduled on a host that the platform is about to stop."""
    site = start_site()
    site.listed = lambda: [
        ListedHost(host=h.entry, leaving=name == "d0-1") for name, h in site.host_by_name.items()
    ]
    for name in site.running():
        site.deliver(name, site.host_list())
    site.run_for(1.0)
    for core in site.running().values():
        assert core.membership.is_leaving("d0-1")
        assert core.membership.is_alive("d0-1")
        pools = [f"pool-{number}" for number in range(50)]
        assert "d0-1" not in {core.membership.scheduler_for(pool) for pool in pools}


def test_listed_host_outside_the_configuration_is_a_member():
    """Guards against replacement hosts that join only when the configuration changes."""
    site = start_site()
    entry = HostEntry(name="d0-new", address="10.9.0.1", port=7000, failure_domain="d0")
    site.add_host(entry)
    site.start("d0-new")
    site.run_for(1.0)
    assert membership_views(site) == {tuple(sorted(site.host_by_name))}
    assert site.running()["d2-1"].membership.endpoint_of("d0-new") == ("10.9.0.1", 7000)


def test_delayed_message_of_a_failed_host_does_not_make_it_alive():
    """Guards against a delayed ping that makes a failed host alive again without a refutation."""
    core = make_core()
    core.tick(1.0, [ping(update())])
    core.tick(1.1, [ping(update(state=MemberState.DEAD), update("d0-2"), sender="d0-2")])
    assert not core.membership.is_alive("d0-1")
    actions = core.tick(2.0, [ping(update())])
    assert not core.membership.is_alive("d0-1")
    messages = [a.message for a in actions if isinstance(a, Send) and a.to == "d0-1"]
    sent_updates = [u for m in messages for u in m.updates if u.name == "d0-1"]
    assert sent_updates and all(u.state == MemberState.DEAD for u in sent_updates)
    core.tick(2.1, [ping(update(counter=1))])
    assert core.membership.is_alive("d0-1")


def test_paused_host_returns_and_suspects_no_others():
    """Guards against a host that takes its own pause for the failure of all others."""
    site = start_site()
    incarnation = site.running()["d1-1"].identity.incarnation
    site.freeze("d1-1", 10.0)
    site.run_for(5.0)
    assert not site.running()["d0-1"].membership.is_alive("d1-1")
    assert not site.running()["d0-1"].membership.is_dead("d1-1", incarnation)
    site.run_for(5.001)
    assert len(site.running()["d1-1"].membership.alive_hosts()) == 9
    site.run_for(3.0)
    assert membership_views(site) == {tuple(sorted(site.host_by_name))}


def test_failed_connection_to_a_live_host_does_not_fail_the_host():
    """Guards against pools that move because a connection was reset."""
    site = start_site()
    for _ in range(20):
        for name in site.running():
            if name != "d0-1":
                site.fail_connection(name, "d0-1")
        site.run_for(0.3)
        assert all("d0-1" in view for view in membership_views(site))


def test_goodbye_is_final_and_known_everywhere():
    """Guards against a planned stop that waits for a suspicion or that a delayed message undoes."""
    site = start_site()
    core = site.running()["d0-1"]
    incarnation = core.identity.incarnation
    goodbye = Goodbye(incarnation=incarnation)
    event = PeerReceived(sender="d0-1", incarnation=incarnation, message=goodbye)
    site.kill("d0-1")
    site.deliver("d1-1", event)
    site.run_for(0.5)
    late = update("d0-1", incarnation=incarnation, counter=99, failure_domain="d0")
    for name, other in site.running().items():
        assert other.membership.is_dead("d0-1", incarnation)
        site.deliver(name, ping(late, incarnation=incarnation, sender="d0-1"))
        assert not other.membership.is_alive("d0-1")


def test_unreachable_domain_is_detected_and_recovers():
    """Guards against a partition side that waits for the other, or does not rejoin on healing."""
    site = start_site()
    site.cut("d0", "d1")
    site.cut("d0", "d2")
    site.run_for(5.0)
    for name, core in site.running().items():
        inside = name.startswith("d0")
        assert set(core.membership.unreachable_domains()) == ({"d1", "d2"} if inside else {"d0"})
        assert len(core.membership.alive_hosts()) == (3 if inside else 6)
        assert core.membership.scheduler_for("p") in core.membership.alive_hosts()
        other = site.running()["d1-0" if inside else "d0-0"].identity
        assert not core.membership.is_dead(other.name, other.incarnation)
    site.heal()
    site.run_for(5.0)
    assert membership_views(site) == {tuple(sorted(site.host_by_name))}


def test_healed_partition_soon_agrees_on_schedulers():
    """Guards against hosts that stay unresponsive for long after a partition has healed.

    Hosts that left a probe unanswered are not chosen as schedulers, and some of them were not
    probed for 11 s after they had become reachable again.
    """
    site = start_site(hosts=18)
    site.cut("d0", "d1")
    site.cut("d1", "d2")
    site.run_for(10.0)
    site.heal()
    site.run_for(3.0)
    for number in range(50):
        named = {c.membership.scheduler_for(f"pool-{number}") for c in site.running().values()}
        assert len(named) == 1


def test_rack_that_fails_at_once_is_detected_quickly():
    """Guards against detecting the failed hosts of a rack one probe interval after the other."""
    site = start_site(hosts=24, domains=2)
    dead = [f"d0-{number}" for number in range(8)]
    for name in dead:
        site.kill(name)
    site.run_for(6.0)
    assert membership_views(site) == {tuple(sorted(site.running()))}


def test_loss_of_one_message_in_ten_fails_no_host():
    """Guards against hosts that are declared failed because messages were lost."""
    site = start_site(loss=0.1, jitter_s=0.02, duplicates=0.1)
    for _ in range(40):
        site.run_for(1.0)
        assert membership_views(site) == {tuple(sorted(site.host_by_name))}


def test_superseded_host_stops_serving():
    """Guards against two processes of one host name that both serve callers."""
    core = make_core()
    core.tick(1.0, [])
    own = update("d0-0", incarnation=NEW, address="10.0.0.9")
    actions = core.tick(1.1, [ping(own)])
    assert any(isinstance(a, ReadinessChanged) and not a.ready for a in actions)
    assert core.membership.is_dead("d0-0", OLD)


def test_drained_host_has_ended_everywhere():
    """Guards against a planned stop that peers treat as a failure."""
    site = start_site()
    incarnation = site.running()["d0-1"].identity.incarnation
    site.deliver("d0-1", DrainCalled())
    site.run_for(0.5)
    for name, core in site.running().items():
        if name != "d0-1":
            assert core.membership.is_dead("d0-1", incarnation)


def test_draining_host_announces_that_it_is_leaving():
    """Guards against a draining host that becomes a scheduler or witness."""
    core, peer = make_core(), make_core("d0-1")
    peer.tick(1.0, [ping(update("d0-0", address="10.0.0.1"), sender="d0-0")])
    core.tick(1.0, [ping(update())])
    out: list[Action] = []
    core.membership.handle(1.1, DrainCalled(), out)
    core.membership.advance(1.2, out)
    assert core.membership.is_leaving("d0-0")
    messages = [a.message for a in out if isinstance(a, Send) and a.to == "d0-1"]
    assert messages
    events = [PeerReceived(sender="d0-0", incarnation=OLD, message=m) for m in messages]
    peer.tick(1.3, events)
    assert peer.membership.is_leaving("d0-0")
    assert peer.membership.is_alive("d0-0")
    assert peer.membership.witness_for(1) is None


def test_witness_is_another_host_of_the_own_domain_if_there_is_one():
    """Guards against a witness that fails together with the owner, or is needlessly remote."""
    site = start_site(hosts=7, domains=3)
    for name, core in site.running().items():
        witnesses = {core.membership.witness_for(n) for n in range(0, 4096, 64)}
        assert name not in witnesses
        assert all(witness.startswith(name[:2]) for witness in witnesses)
    site.kill("d1-1")
    site.run_for(4.0)
    assert site.running()["d1-0"].membership.witness_for(1)[:2] in ("d0", "d2")


def test_host_alone_has_no_witness_and_schedules_everything():
    """Guards against ids whose witness does not exist."""
    core = make_core()
    core.tick(1.0, [])
    assert core.membership.witness_for(1) is None
    assert core.membership.scheduler_for("p") == "d0-0"


def test_scheduler_of_a_domain_is_one_of_its_hosts():
    """Guards against a domain-scoped pool that is scheduled in another failure domain."""
    site = start_site()
    for core in site.running().values():
        for number in range(20):
            assert core.membership.scheduler_for(f"p{number}", "d1").startswith("d1")


@pytest.mark.parametrize("gone", [0, 3, 7])
def test_rendezvous_follows_weights_and_moves_little(gone: int):
    """Guards against shares that ignore weights, and pools that move although their host stays."""
    weights = {f"host-{number}": 1.0 + (number == 0) for number in range(8)}
    before = {pool: choose(f"pool-{pool}", weights.items()) for pool in range(9_000)}
    counts = Counter(before.values())
    assert 1.7 < counts["host-0"] / counts["host-1"] < 2.3
    del weights[f"host-{gone}"]
    for pool, host in before.items():
        if host != f"host-{gone}":
            assert choose(f"pool-{pool}", weights.items()) == host


def test_traffic_per_host_does_not_grow_with_the_site():
    """Guards against traffic per host that grows with the number of hosts."""
    sent_by_size = {}
    for hosts in (12, 40):
        site = start_site(hosts=hosts, domains=4)
        site.run_until(EPOCH + 30.0)
        updates: Counter[str] = Counter()
        carry_out = site._carry_out

        def count(host, action, carry_out=carry_out, updates=updates):
            if isinstance(action, Send):
                updates["messages"] += 1
                updates["entries"] += len(getattr(action.message, "updates", ()))
            carry_out(host, action)

        site._carry_out = count  # type: ignore[method-assign]
        site.run_for(10.0)
        sent_by_size[hosts] = {key: value / hosts for key, value in updates.items()}
    small, large = sent_by_size[12], sent_by_size[40]
    assert large["messages"] <= 1.1 * small["messages"]
    assert large["entries"] <= 1.1 * small["entries"]


def test_unresponsive_scheduler_is_skipped_before_it_is_declared_failed():
    """Guards against asks that wait for a failed scheduler until its suspicion times out."""
    site = start_site(hosts=3, domains=1)
    scheduler = site.running()["d0-0"].membership.scheduler_for("workers")
    observer = next(name for name in site.host_by_name if name != scheduler)
    site.kill(scheduler)
    site.deliver(observer, PeerFailed(peer=scheduler))
    site.run_for(0.2)
    view = site.running()[observer].membership
    assert view.is_alive(scheduler)
    assert view.scheduler_for("workers") != scheduler


def test_probed_host_that_replies_keeps_its_pools():
    """Guards against pools that move because one answer of a scheduler was slow."""
    site = start_site(hosts=3, domains=1)
    view = site.running()["d0-0"].membership
    scheduler = view.scheduler_for("workers")
    view.probe_soon("d0-1")
    view.probe_soon("d0-2")
    site.run_for(0.5)
    assert view.scheduler_for("workers") == scheduler
