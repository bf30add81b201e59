"""Site of real processes on loopback: daemons, and stand-ins for platform and upstreams."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import secrets
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field, replace
from typing import IO

import httpx

from eelgrassyard.config import compress_document, hash_key, new_key, new_salt, render_document
from eelgrassyard.policy import (
    CallerEntry,
    HostEntry,
    KindEntry,
    Limits,
    SiteConfig,
    TeamEntry,
    UpstreamEntry,
    UpstreamRole,
)
from eelgrassyard.standins import reserve_ports

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CALLERS = ("clerk", "till", "operator")
STORE_KEY = "site"


@dataclass(kw_only=True)
class HostProcess:
    """A running daemon process."""

    name: str
    process: subprocess.Popen[bytes]
    http_port: int

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.http_port}"

    def cpu_s(self) -> float:
        """Processor time used by the process so far, user and system."""
        fields = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1]
        user, system = fields.split()[11:13]
        return (int(user) + int(system)) / CLOCK_TICKS_PER_S

    def memory_mb(self) -> float:
        """Resident memory in MiB.

        :raises RuntimeError: if the kernel reports none.
        """
        for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        raise RuntimeError("the status file of the process has no VmRSS line")


@dataclass(kw_only=True)
class Site:
    """The processes of a site, their addresses and the keys of the callers."""

    hosts: list[HostProcess]
    config: SiteConfig
    store_url: str
    list_url: str
    runner_urls: list[str]
    worker_urls: list[str]
    key_by_caller: dict[str, str] = field(default_factory=dict)


@contextlib.contextmanager
def running_site(
    *,
    hosts: int = 1,
    runners: int = 2,
    workers: int = 1,
    slots: int = 8,
    limits: Limits | None = None,
    placeholders: Sequence[UpstreamEntry] = (),
) -> Iterator[Site]:
    """Start a site, wait until its hosts are ready, and stop it at the end.

    :param placeholders: upstreams in configuration and host list that have no process.
    """
    ports = iter(reserve_ports(2 + runners + workers + 2 * hosts))
    store_port, list_port = next(ports), next(ports)
    runner_ports = [next(ports) for _ in range(runners)]
    worker_ports = [next(ports) for _ in range(workers)]
    host_ports = [(next(ports), next(ports)) for _ in range(hosts)]
    keys = {name: new_key() for name in CALLERS}
    config = make_config(keys, host_ports, runner_ports, worker_ports, slots, limits or Limits())
    with tempfile.TemporaryDirectory() as temporary, contextlib.ExitStack() as stack:
        directory = pathlib.Path(temporary)
        spec = stand_in_spec(config, store_port, list_port, placeholders)
        named_upstreams = {
            **config.upstreams_by_name,
            **{entry.name: entry for entry in placeholders},
        }
        config = replace(config, upstreams_by_name=named_upstreams)
        (directory / "stand-ins.json").write_text(json.dumps(spec))
        # On exit the stand-ins log a traceback for each connection that is still open.
        log = stack.enter_context((directory / "stand-ins.log").open("wb"))
        stack.enter_context(
            running_module(
                "eelgrassyard.standins", f"--spec={directory / 'stand-ins.json'}", errors=log
            )
        )
        store_url = f"http://127.0.0.1:{store_port}"
        wait_until_answering(store_url + "/counts")
        document = compress_document(render_document(config, author="bench")).decode()
        body = {"value": document, "expect": 0}
        httpx.put(f"{store_url}/kv/{STORE_KEY}", json=body, trust_env=False).raise_for_status()
        id_key = secrets.token_hex(32)
        processes = []
        for (name, entry), (http_port, _) in zip(
            config.hosts_by_name.items(), host_ports, strict=True
        ):
            settings = {
                "name": name,
                "failure_domain": entry.failure_domain,
                "id_key": id_key,
                "http": {"address": "127.0.0.1", "port": http_port},
                "peer": {"address": "127.0.0.1", "port": entry.port},
                "store": {"url": store_url, "key": STORE_KEY},
                "host_list": {"url": f"http://127.0.0.1:{list_port}"},
                "log_level": "warning",
            }
            path = directory / f"{name}.jsonc"
            path.write_text(json.dumps(settings))
            process = stack.enter_context(
                running_module("eelgrassyard.daemon", f"--settings={path}")
            )
            processes.append(HostProcess(name=name, process=process, http_port=http_port))
        for host in processes:
            wait_until_answering(host.url + "/readyz")
        yield Site(
            hosts=processes,
            config=config,
            store_url=store_url,
            list_url=f"http://127.0.0.1:{list_port}",
            runner_urls=[f"http://127.0.0.1:{port}" for port in runner_ports],
            worker_urls=[f"http://127.0.0.1:{port}" for port in worker_ports],
            key_by_caller=keys,
        )


def make_config(
    keys: dict[str, str],
    host_ports: list[tuple[int, int]],
    runner_ports: list[int],
    worker_ports: list[int],
    slots: int,
    limits: Limits,
) -> SiteConfig:
    """Configuration with one failure domain, a kind for requests and a kind for jobs."""
    callers = {}
    for name, key in keys.items():
        salt = new_salt()
        callers[name] = CallerEntry(
            name=name,
            team="team",
            key_salt=salt,
            key_hash=hash_key(key, salt),
            operator=name == "operator",
        )
    upstreams = {}
    for number, port in enumerate(runner_ports):
        name = f"runner-{number:02}"
        upstreams[name] = UpstreamEntry(
            name=name,
            role=UpstreamRole.RUNNER,
            url=f"http://127.0.0.1:{port}",
            failure_domain="patan",
            service="ruling",
            slots=slots,
        )
    for number, port in enumerate(worker_ports):
        name = f"worker-{number:02}"
        upstreams[name] = UpstreamEntry(
            name=name,
            role=UpstreamRole.WORKER,
            url=f"http://127.0.0.1:{port}",
            failure_domain="patan",
            cores=64.0,
            memory_mb=131_072,
        )
    return SiteConfig(
        site="bench",
        failure_domains=("patan",),
        hosts_by_name={
            f"patan-{number}": HostEntry(
                name=f"patan-{number}", address="127.0.0.1", port=port, failure_domain="patan"
            )
            for number, (_, port) in enumerate(host_ports, 1)
        },
        upstreams_by_name=upstreams,
        kinds_by_name={
            "rule": KindEntry(name="rule", service="ruling", typical_s=0.05, idempotent=True),
            "bind": KindEntry(name="bind", typical_s=0.05),
        },
        callers_by_name=callers,
        teams_by_name={"team": TeamEntry(name="team")},
        limits=limits,
    )


def stand_in_spec(
    config: SiteConfig, store_port: int, list_port: int, placeholders: Sequence[UpstreamEntry] = ()
) -> list[dict[str, object]]:
    """Specification of the stand-in processes.

    :param placeholders: upstreams that are in the host list but get no process.
    """
    spec: list[dict[str, object]] = [{"role": "keyvalue", "port": store_port}]
    listed: list[dict[str, object]] = [
        {
            "name": host.name,
            "role": "entry",
            "address": host.address,
            "port": host.port,
            "failure_domain": host.failure_domain,
            "state": "live",
        }
        for host in config.hosts_by_name.values()
    ]
    for entry in config.upstreams_by_name.values():
        port = int(entry.url.rpartition(":")[2])
        if entry.role is UpstreamRole.RUNNER:
            spec.append({"role": "runner", "port": port, "name": entry.name, "slots": entry.slots})
        else:
            spec.append({"role": "worker", "port": port, "name": entry.name})
    for entry in [*config.upstreams_by_name.values(), *placeholders]:
        port = int(entry.url.rpartition(":")[2])
        listed.append(
            {
                "name": entry.name,
                "role": entry.role.value,
                "address": "127.0.0.1",
                "port": port,
                "failure_domain": entry.failure_domain,
                "service": entry.service,
                "slots": entry.slots,
                "cores": entry.cores,
                "memory_mb": entry.memory_mb,
                "state": "live",
            }
        )
    spec.append({"role": "hostlist", "port": list_port, "hosts": listed})
    return spec


@contextlib.contextmanager
def running_module(
    module: str, *arguments: str, errors: IO[bytes] | None = None
) -> Iterator[subprocess.Popen[bytes]]:
    """Run a module in a separate process; end it with SIGTERM, or SIGKILL after a time-out.

    :param errors: file for its standard error; inherited if None.
    """
    process = subprocess.Popen([sys.executable, "-m", module, *arguments], stderr=errors)
    try:
        yield process
    finally:
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def wait_until_answering(url: str) -> None:
    """Poll a URL until it answers with status 200.

    :raises TimeoutError: if it does not within ``START_TIMEOUT_S``.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(httpx.HTTPError):
            if httpx.get(url, trust_env=False).status_code == 200:
                return
        time.sleep(0.05)
    raise TimeoutError(f"{url} did not answer with status 200 in time")
