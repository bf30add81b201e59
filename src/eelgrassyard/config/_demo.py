"""Scaled variants of the shipped questionnaires, for demos, tests and benchmarks."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import json5
from result import Err, Ok

from ._keys import hash_key
from ._questionnaire import Questionnaire, parse_questionnaire

SITES = Path(__file__).parents[3] / "sites"
"""Directory of the shipped questionnaires; it exists in a checkout, not in an installed package."""

LOOPBACK = "127.0.0.1"


class DemoHost(NamedTuple):
    """Ports of an entry host on the loopback interface."""

    peer_port: int
    callers_port: int


def demo_questionnaire(
    site: str,
    *,
    hosts: Sequence[DemoHost | tuple[int, int]],
    runners: Sequence[int],
    workers: Sequence[int],
    keys: Mapping[str, str] | None = None,
    address: str = LOOPBACK,
) -> Questionnaire:
    """Return the questionnaire of a shipped site with the given hosts and upstreams.

    Hosts, runners and workers are assigned to the site's failure domains in turn; failure domains
    without a host are left out. Expected rates scale with the capacity, so that the utilization
    stays that of the shipped site. Names are ``<domain>-<n>`` for hosts,
    ``<domain>-runner-<n>`` for runners and ``<rack>-worker-<n>`` for workers.

    :param site: name of a file in ``sites/`` without its extension, or a path.
    :param hosts: ports of each host, for peers and for callers.
    :param runners: port of each runner.
    :param workers: port of each worker; without any, kinds that run as jobs are left out.
    :param keys: key by name of the caller or operator; the questionnaire holds its hash.
    :raises ValueError: if the result is not a valid questionnaire.
    """
    path = Path(site) if site.endswith(".jsonc") else SITES / f"{site}.jsonc"
    values: dict[str, Any] = json5.loads(path.read_text(encoding="utf-8"))
    domains = [item["name"] for item in values["failure_domains"]][: len(hosts)]
    values["failure_domains"] = values["failure_domains"][: len(domains)]
    values["hosts"] = _assign_hosts(hosts, domains, address)
    scale_by_service = _assign_runners(values["services"], runners, domains, address)
    worker_scale = _assign_workers(values, workers, domains, address)
    _scale_rates(values, scale_by_service, worker_scale)
    _set_keys(values, keys or {})
    text = json.dumps(values, indent=1)
    match parse_questionnaire(text.encode(), file=f"{path.name} (demo)"):
        case Ok(questionnaire):
            return questionnaire
        case Err(errors):
            raise ValueError("; ".join(str(error) for error in errors))


def _assign_hosts(
    hosts: Sequence[DemoHost | tuple[int, int]], domains: Sequence[str], address: str
) -> list[dict[str, Any]]:
    return [
        {
            "name": f"{domains[index % len(domains)]}-{index // len(domains) + 1}",
            "failure_domain": domains[index % len(domains)],
            "address": address,
            "peer_port": peer_port,
            "callers_port": callers_port,
        }
        for index, (peer_port, callers_port) in enumerate(hosts)
    ]


def _assign_runners(
    services: list[dict[str, Any]], ports: Sequence[int], domains: Sequence[str], address: str
) -> dict[str, float]:
    """Assign the runners to services; returns the factor on the capacity of each service."""
    before = {service["name"]: len(service["runners"]) for service in services}
    for service in services:
        service["runners"] = []
    for index, port in enumerate(ports):
        domain = domains[index % len(domains)]
        services[index % len(services)]["runners"].append(
            {
                "name": f"{domain}-runner-{index // len(domains) + 1}",
                "failure_domain": domain,
                "address": address,
                "port": port,
            }
        )
    return {item["name"]: len(item["runners"]) / before[item["name"]] for item in services}


def _assign_workers(
    values: dict[str, Any], ports: Sequence[int], domains: Sequence[str], address: str
) -> float:
    """Assign the workers to one rack per failure domain; returns the factor on their capacity."""
    before = sum(len(rack["workers"]) for rack in values["racks"])
    racks = {rack["failure_domain"]: rack for rack in reversed(values["racks"])}
    template = values["racks"][0]
    workers_by_domain: dict[str, list[dict[str, Any]]] = {domain: [] for domain in domains}
    for index, port in enumerate(ports):
        workers_by_domain[domains[index % len(domains)]].append({"address": address, "port": port})
    values["racks"] = []
    for domain, workers in workers_by_domain.items():
        rack = dict(racks.get(domain, template))
        rack |= {"name": f"{domain}-rack", "failure_domain": domain, "workers": workers}
        for number, worker in enumerate(workers, start=1):
            worker["name"] = f"{domain}-rack-worker-{number}"
        if workers:
            values["racks"].append(rack)
    return len(ports) / before


def _scale_rates(
    values: dict[str, Any], scale_by_service: Mapping[str, float], worker_scale: float
) -> None:
    scale_by_kind = {
        kind["name"]: (
            worker_scale if kind["runs_as"] == "job" else scale_by_service[kind["service"]]
        )
        for kind in values["kinds"]
    }
    kept = {name for name, scale in scale_by_kind.items() if scale > 0}
    values["kinds"] = [kind for kind in values["kinds"] if kind["name"] in kept]
    values["services"] = [item for item in values["services"] if item["runners"]]
    for caller in values["callers"]:
        caller["sends"] = {
            name: {"per_s": sends["per_s"] * scale_by_kind[name]}
            for name, sends in caller["sends"].items()
            if name in kept
        }
    values["callers"] = [caller for caller in values["callers"] if caller["sends"]]
    for team in values["teams"]:
        if "most_starts_per_s" in team:
            # Scaling a quota by the smaller factor could put it below the callers' rates.
            team["most_starts_per_s"] *= max(scale_by_kind.values(), default=1.0)


def _set_keys(values: dict[str, Any], keys: Mapping[str, str]) -> None:
    for entry in [*values["callers"], *values.get("operators", [])]:
        key = keys.get(entry["name"])
        if key is not None:
            salt = _fixed_salt(entry["name"])
            entry["key"] = {"salt": salt, "hash": hash_key(key, salt)}


def _fixed_salt(name: str) -> str:
    """Derive the salt from the name, so that a demo always generates the same configuration."""
    return hash_key(name, "00")[:32]
