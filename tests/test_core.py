"""Tests of the core with all its systems."""

from eelgrassyard.policy import ConfigLoaded, Core, HostIdentity, SiteConfig


def make_core(name: str = "patan-1") -> Core:
    identity = HostIdentity(
        name=name,
        address="127.0.0.1",
        port=1,
        failure_domain="patan",
        incarnation=1,
        id_key=b"k" * 32,
    )
    return Core(identity=identity, seed=1)


def test_dump_contains_every_system_and_the_config_revision():
    """Guards against a system that is missing from the state dump."""
    core = make_core()
    config = SiteConfig(site="bagmati", failure_domains=("patan",))
    core.tick(1.0, [ConfigLoaded(revision=7, document=b"", config=config)])
    dump = core.dump()
    assert set(dump) >= {"membership", "config", "witness", "quotas", "scheduler", "submissions"}
    assert core.dump("config")["config"]["revision"] == 7
