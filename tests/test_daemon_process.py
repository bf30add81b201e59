"""Tests of the daemon as a process: start, signals and exit codes."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import httpx

from eelgrassyard.daemon._server import bind
from eelgrassyard.standins import reserve_ports

ROOT = pathlib.Path(__file__).parent.parent
PROCESS_TIMEOUT_S = 30.0


def test_process_starts_without_platform_and_ends_on_sigterm(tmp_path):
    """Guards against a daemon that does not start without the platform or ignores SIGTERM."""
    port = reserve_ports(1)[0]
    settings = {
        "name": "patan-1",
        "failure_domain": "patan",
        "id_key": "ab" * 32,
        "http": {"address": "127.0.0.1", "port": port},
        "peer": {"address": "127.0.0.1", "port": 0},
        "store": {"url": "http://127.0.0.1:1", "key": "site"},
        "host_list": {"url": "http://127.0.0.1:1"},
    }
    path = tmp_path / "host.jsonc"
    path.write_text(json.dumps(settings))
    process = subprocess.Popen(
        [sys.executable, "-m", "eelgrassyard.daemon", f"--settings={path}"],
        env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
        stderr=subprocess.PIPE,
    )
    try:
        deadline = time.monotonic() + PROCESS_TIMEOUT_S
        live = False
        while not live and time.monotonic() < deadline and process.poll() is None:
            with contextlib.suppress(httpx.HTTPError):
                url = f"http://127.0.0.1:{port}/healthz"
                live = httpx.get(url, trust_env=False).status_code == 200
        assert live
        process.send_signal(signal.SIGTERM)
        _, errors = process.communicate(timeout=PROCESS_TIMEOUT_S)
    finally:
        if process.poll() is None:
            process.kill()
            process.wait()
    assert process.returncode == 0
    lines = [json.loads(line) for line in errors.splitlines()]
    steps = [line["step"] for line in lines]
    assert steps[0] == "start"
    assert steps[-1] == "stop"
    assert {line["host"] for line in lines} == {"patan-1"}


def test_taken_port_is_one_line_and_exit_code_2(tmp_path):
    """Guards against a traceback when the port is in use."""
    with bind("127.0.0.1", 0) as taken:
        taken.listen()
        settings = {
            "name": "patan-1",
            "failure_domain": "patan",
            "id_key": "ab" * 32,
            "http": {"address": "127.0.0.1", "port": taken.getsockname()[1]},
            "peer": {"address": "127.0.0.1", "port": 0},
            "store": {"url": "http://127.0.0.1:1", "key": "site"},
            "host_list": {"url": "http://127.0.0.1:1"},
        }
        path = tmp_path / "host.jsonc"
        path.write_text(json.dumps(settings))
        done = subprocess.run(
            [sys.executable, "-m", "eelgrassyard.daemon", f"--settings={path}"],
            env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
            capture_output=True,
            timeout=PROCESS_TIMEOUT_S,
            check=False,
        )
    assert done.returncode == 2
    assert done.stderr.count(b"\n") == 1
    assert str(path).encode() in done.stderr
