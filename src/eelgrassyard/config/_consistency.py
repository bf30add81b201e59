"""Consistency checks between the entries of a configuration document."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from ._model import SiteModel

SHARE_TOLERANCE = 1e-6
"""Rounding error allowed in a sum of shares."""


class Inconsistency(NamedTuple):
    """An inconsistent value.

    :param key: key of the value in the configuration.
    """

    key: str
    message: str


def find_inconsistencies(site: SiteModel) -> Iterator[Inconsistency]:
    """Yield unresolved references, duplicates, and values and sums that violate a limit."""
    if len(set(site.failure_domains)) < len(site.failure_domains):
        yield Inconsistency("failure_domains", "names a failure domain twice")
    yield from _check_failure_domains(site)
    yield from _check_kinds(site)
    yield from _check_callers(site)
    if site.limits.queued_tasks_total < site.limits.queued_tasks_per_flow:
        yield Inconsistency(
            "limits.queued_tasks_total", "must be at least limits.queued_tasks_per_flow"
        )
    yield from _check_shares(site)


def _check_shares(site: SiteModel) -> Iterator[Inconsistency]:
    totals: defaultdict[str, float] = defaultdict(float)
    urgent_totals: defaultdict[str, float] = defaultdict(float)
    for kind in site.kinds.values():
        totals[kind.service] += kind.share
        if kind.urgency != "background":
            urgent_totals[kind.service] += kind.share
    for service, total in totals.items():
        pool = service or "workers"
        if total > 1 + SHARE_TOLERANCE:
            yield Inconsistency("kinds", f"the shares of the kinds on {pool} add up to more than 1")
        if urgent_totals[service] + site.limits.background_share > 1 + SHARE_TOLERANCE:
            yield Inconsistency(
                "limits.background_share",
                f"with the shares of the more urgent kinds on {pool} it exceeds 1",
            )


def _check_failure_domains(site: SiteModel) -> Iterator[Inconsistency]:
    known = set(site.failure_domains)
    allowed = ", ".join(site.failure_domains)
    used: dict[tuple[str, int], str] = {}
    for name, host in site.hosts.items():
        if host.failure_domain not in known:
            yield Inconsistency(
                f"hosts.{name}.failure_domain", f"{host.failure_domain!r} is not one of {allowed}"
            )
        other = used.setdefault((host.address, host.port), name)
        if other != name:
            yield Inconsistency(f"hosts.{name}.port", f"the same address and port as host {other}")
    urls: dict[str, str] = {}
    for name, upstream in site.upstreams.items():
        if upstream.failure_domain not in known:
            yield Inconsistency(
                f"upstreams.{name}.failure_domain",
                f"{upstream.failure_domain!r} is not one of {allowed}",
            )
        other = urls.setdefault(upstream.url, name)
        if other != name:
            yield Inconsistency(f"upstreams.{name}.url", f"the same as of upstream {other}")


def _check_kinds(site: SiteModel) -> Iterator[Inconsistency]:
    services = {item.service for item in site.upstreams.values() if item.role == "runner"}
    has_workers = any(item.role == "worker" for item in site.upstreams.values())
    for name, kind in site.kinds.items():
        if kind.service and kind.service not in services:
            yield Inconsistency(f"kinds.{name}.service", f"no runner serves {kind.service!r}")
        if not kind.service and not has_workers:
            yield Inconsistency(f"kinds.{name}.service", "a job kind needs at least one worker")


def _check_callers(site: SiteModel) -> Iterator[Inconsistency]:
    for name, caller in site.callers.items():
        if caller.team not in site.teams:
            yield Inconsistency(f"callers.{name}.team", f"{caller.team!r} is not a team")
        for kind in caller.kinds:
            if kind not in site.kinds:
                yield Inconsistency(f"callers.{name}.kinds", f"{kind!r} is not a kind of work")
