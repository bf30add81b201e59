"""Membership over several real cores in virtual time."""

from __future__ import annotations

from collections.abc import Sequence

from bench.virtual import EPOCH, VirtualSite

from eelgrassyard.policy import HostEntry, PeerFailed, SiteConfig, StartResult


def make_site(hosts: int = 9, domains: int = 3, *, seed: int = 1, loss: float = 0.0) -> VirtualSite:
    names = [f"d{number}" for number in range(domains)]
    entries = [
        HostEntry(
            name=f"d{i % domains}-{i // domains}",
            address=f"10.0.{i % domains}.{i // domains + 1}",
            port=7000,
            failure_domain=names[i % domains],
        )
        for i in range(hosts)
    ]
    config = SiteConfig(
        site="test",
        failure_domains=tuple(names),
        hosts_by_name={entry.name: entry for entry in entries},
    )
    return VirtualSite(
        config=config, seed=seed, run_time=lambda start, upstream: (0.1, StartResult.OK), loss=loss
    )


def views(site: VirtualSite) -> dict[str, Sequence[str]]:
    return {
        name: host.core.membership.alive_hosts()
        for name, host in site.host_by_name.items()
        if host.core is not None
    }


def schedulers(site: VirtualSite, pool: str = "runners") -> set[str]:
    return {
        host.core.membership.scheduler_for(pool)
        for host in site.host_by_name.values()
        if host.core is not None
    }


def test_hosts_that_start_together_find_each_other():
    """Guards against hosts that stay alone and schedule the same pool twice."""
    site = make_site()
    site.start_all()
    site.run_until(EPOCH + 1.0)
    assert set(views(site).values()) == {tuple(sorted(site.host_by_name))}
    assert len(schedulers(site)) == 1


def test_death_is_known_everywhere_and_restart_is_a_new_incarnation():
    """Guards against a dead host that keeps its pools, or a restart taken for the old process."""
    site = make_site()
    site.start_all()
    site.run_until(EPOCH + 2.0)
    old = site.host_by_name["d1-1"].core.identity.incarnation
    site.kill("d1-1")
    site.run_until(EPOCH + 6.0)
    assert all("d1-1" not in view for view in views(site).values())
    site.start("d1-1")
    site.run_until(EPOCH + 7.0)
    for host in site.host_by_name.values():
        membership = host.core.membership
        assert membership.is_alive("d1-1")
        assert membership.is_dead("d1-1", old)
        assert not membership.is_alive("d1-1", old)


def test_a_silent_scheduler_is_passed_over_before_it_counts_as_failed():
    """Guards against asks that wait for a dead scheduler during the whole suspicion."""
    site = make_site(hosts=3, domains=1)
    site.start_all()
    site.run_until(EPOCH + 5.0)
    scheduler = site.host_by_name["d0-0"].core.membership.scheduler_for("workers")
    observer = next(name for name in site.host_by_name if name != scheduler)
    site.kill(scheduler)
    site.deliver(observer, PeerFailed(peer=scheduler))
    site.run_until(site.now + 0.2)
    view = site.host_by_name[observer].core.membership
    assert view.is_alive(scheduler)
    assert view.scheduler_for("workers") != scheduler
