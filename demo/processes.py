"""Starts and stops the processes of the demo: stand-ins and hosts on free loopback ports."""

from __future__ import annotations

import json
import pathlib
import secrets
import signal
import subprocess
import sys
from dataclasses import dataclass
from typing import Any

from eelgrassyard.config import demo_questionnaire, generate, new_key, render_document
from eelgrassyard.standins import reserve_ports

ADDRESS = "127.0.0.1"
HOST_COUNT = 6
RUNNER_SPEEDS = (2.0, 1.5, 1.0, 1.0, 0.7, 0.5)
WORKER_SPEEDS = (1.5, 1.0, 1.0, 0.7)
STORE_KEY = "eelgrassyard/config"
STOP_TIMEOUT_S = 20.0


@dataclass(kw_only=True)
class DemoHostProcess:
    """Process of one entry host, with its settings and log."""

    name: str
    url: str
    settings: pathlib.Path
    log: pathlib.Path
    process: subprocess.Popen[bytes] | None = None


class DemoSite:
    """Manages all processes and files of the demo; :meth:`stop` ends the processes.

    :param site: name of a shipped questionnaire.
    :param folder: folder for settings, logs and keys.
    """

    def __init__(self, *, site: str, folder: pathlib.Path) -> None:
        self.site = site
        self.folder = folder
        runners, workers = len(RUNNER_SPEEDS), len(WORKER_SPEEDS)
        ports = reserve_ports(2 * HOST_COUNT + runners + workers + 2)
        self._host_ports = [(ports.pop(), ports.pop()) for _ in range(HOST_COUNT)]
        self._runner_ports = [ports.pop() for _ in range(runners)]
        self._worker_ports = [ports.pop() for _ in range(workers)]
        self.store_url = f"http://{ADDRESS}:{ports.pop()}"
        self.host_list_url = f"http://{ADDRESS}:{ports.pop()}"
        self.key_by_name: dict[str, str] = {}
        self._standins: list[subprocess.Popen[bytes]] = []
        self._write_configuration()
        self.hosts = [self._write_settings(*entry) for entry in self._host_entries()]

    @property
    def upstream_urls(self) -> list[str]:
        """Base URLs of all runners and workers."""
        ports = [*self._runner_ports, *self._worker_ports]
        return [f"http://{ADDRESS}:{port}" for port in ports]

    @property
    def host_urls(self) -> list[str]:
        """Base URLs that the hosts serve to callers."""
        return [host.url for host in self.hosts]

    def start_standins(self) -> None:
        """Start the platform in one process and the upstreams in four."""
        specs = [
            self._platform_spec(),
            *self._upstream_specs("runner", self._runner_ports, RUNNER_SPEEDS),
            *self._upstream_specs("worker", self._worker_ports, WORKER_SPEEDS),
        ]
        for number, spec in enumerate(specs):
            path = self.folder / f"standins-{number}.json"
            path.write_text(json.dumps(spec))
            command = [sys.executable, "-m", "eelgrassyard.standins", f"--spec={path}"]
            self._standins.append(self._start(command, self.folder / f"standins-{number}.log"))

    def start_hosts(self) -> None:
        """Start all hosts."""
        for host in self.hosts:
            self.start_host(host)

    def start_host(self, host: DemoHostProcess) -> None:
        """Start one host."""
        command = [sys.executable, "-m", "eelgrassyard.daemon", f"--settings={host.settings}"]
        host.process = self._start(command, host.log)

    def run_tool(self, *arguments: str, key: str = "") -> subprocess.CompletedProcess[str]:
        """Run the command-line tool and wait for it to end."""
        command = [sys.executable, "-m", "eelgrassyard.cli", *arguments]
        if key:
            command.append(f"--key_file={self.folder / key}.key")
        return subprocess.run(command, capture_output=True, text=True, timeout=100, check=False)

    def apply(self) -> subprocess.CompletedProcess[str]:
        """Apply the configuration through the tool, as an operator would."""
        return self.run_tool(
            "apply",
            str(self.document),
            f"--store={self.store_url}",
            f"--config_key={STORE_KEY}",
            key=self.operator,
        )

    def stop(self) -> list[str]:
        """Terminate all processes; returns the names of those that had to be killed."""
        started = [(host.name, host.process) for host in self.hosts if host.process is not None]
        started += [(f"standins-{number}", each) for number, each in enumerate(self._standins)]
        for _, process in started:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        killed = []
        for name, process in started:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                killed.append(name)
        return killed

    def _start(self, command: list[str], log: pathlib.Path) -> subprocess.Popen[bytes]:
        with log.open("ab") as file:
            return subprocess.Popen(command, stdout=file, stderr=file, stdin=subprocess.DEVNULL)

    def _write_configuration(self) -> None:
        shipped = demo_questionnaire(
            self.site,
            hosts=self._host_ports,
            runners=self._runner_ports,
            workers=self._worker_ports,
        )
        names = [entry.name for entry in (*shipped.answers.callers, *shipped.answers.operators)]
        self.callers = [caller.name for caller in shipped.answers.callers]
        self.operator = shipped.answers.operators[0].name
        for name in names:
            self.key_by_name[name] = new_key()
            (self.folder / f"{name}.key").write_text(self.key_by_name[name])
        self.questionnaire = demo_questionnaire(
            self.site,
            hosts=self._host_ports,
            runners=self._runner_ports,
            workers=self._worker_ports,
            keys=self.key_by_name,
        )
        generated = generate(self.questionnaire)
        document = render_document(
            generated.config, author="demo", origins_by_key=generated.origins_by_key
        )
        self.document = self.folder / "config.json"
        self.document.write_bytes(document)
        self.config = generated.config

    def _host_entries(self) -> list[tuple[str, str, tuple[int, int]]]:
        hosts = self.config.hosts_by_name.values()
        ports = {peer_port: (peer_port, port) for peer_port, port in self._host_ports}
        return [(host.name, host.failure_domain, ports[host.port]) for host in hosts]

    def _write_settings(
        self, name: str, failure_domain: str, ports: tuple[int, int]
    ) -> DemoHostProcess:
        peer_port, port = ports
        settings = {
            "name": name,
            "failure_domain": failure_domain,
            "id_key": self._id_key(),
            "http": {"address": ADDRESS, "port": port},
            "peer": {"address": ADDRESS, "port": peer_port},
            "store": {"url": self.store_url, "key": STORE_KEY},
            "host_list": {"url": self.host_list_url, "poll_s": 0.5},
        }
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps(settings, indent=1))
        return DemoHostProcess(
            name=name,
            url=f"http://{ADDRESS}:{port}",
            settings=path,
            log=self.folder / f"{name}.log",
        )

    def _id_key(self) -> str:
        path = self.folder / "id.key"
        if not path.exists():
            path.write_text(secrets.token_hex(32))
        return path.read_text()

    def _platform_spec(self) -> list[dict[str, Any]]:
        entries: list[dict[str, Any]] = [
            {
                "name": host.name,
                "role": "entry",
                "address": host.address,
                "port": host.port,
                "failure_domain": host.failure_domain,
                "state": "live",
            }
            for host in self.config.hosts_by_name.values()
        ]
        entries += [
            {
                "name": upstream.name,
                "role": str(upstream.role),
                "url": upstream.url,
                "failure_domain": upstream.failure_domain,
                "rack": upstream.rack,
                "service": upstream.service,
                "slots": upstream.slots,
                "cores": upstream.cores,
                "memory_mb": upstream.memory_mb,
                "state": "live",
            }
            for upstream in self.config.upstreams_by_name.values()
        ]
        return [
            {"role": "keyvalue", "port": int(self.store_url.rpartition(":")[2])},
            {
                "role": "hostlist",
                "port": int(self.host_list_url.rpartition(":")[2]),
                "hosts": entries,
                "lag_s": 1.0,
            },
        ]

    def _upstream_specs(
        self, role: str, ports: list[int], speeds: tuple[float, ...]
    ) -> list[list[dict[str, Any]]]:
        entry_by_port = {
            int(entry.url.rpartition(":")[2]): entry
            for entry in self.config.upstreams_by_name.values()
        }
        specs = []
        for port, speed in zip(ports, speeds, strict=True):
            entry = entry_by_port[port]
            spec: dict[str, Any] = {
                "role": role,
                "port": port,
                "name": entry.name,
                "speed": speed,
            }
            if role == "runner":
                spec["slots"] = entry.slots
            else:
                spec |= {"cores": entry.cores, "memory_mb": entry.memory_mb}
            specs.append(spec)
        return [specs[::2], specs[1::2]]
