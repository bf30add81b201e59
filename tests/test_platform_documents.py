"""Tests of the decoding of settings, configurations, worker entries and task names."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eelgrassyard.dispatch._jobs import TaskId
from eelgrassyard.dispatch._messages import HostRecord
from eelgrassyard.platform._documents import (
    decode_config,
    decode_host,
    decode_worker,
    encode_host,
)
from eelgrassyard.platform._settings import read_settings
from eelgrassyard.platform._worker_bodies import parse_task_name, task_name
from odd_values import ODD_CONFIGS, ODD_HOST_ENTRIES, WORKER_ENTRIES_BY_CASE
from platform_standin import config

SETTINGS = """
node = "front-patan-1"
zone = "patan"
seeds = ["10.1.0.13:8166", "broken"]
unknown = "ignored"
[listen]
front = "10.1.0.13:8161"
ready = "10.1.0.13:8167"
control = "10.1.0.13:8166"
[limits]
cpu_share = 0.5
cores = 2
[bounds]
stop_ms = 50
grace_s = 6
[platform]
address = "10.200.1.7:8169"
"""

ENTRY = {
    "service": "svc",
    "address": "10.128.0.9:8080",
    "zone": "patan",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
}


def test_settings_are_read(tmp_path: Path) -> None:
    """Guards against wrong names or units in the settings."""
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS)
    settings = read_settings(str(path)).unwrap()
    assert settings.name == "front-patan-1"
    assert settings.domain == "patan"
    assert settings.weight == 1.0
    assert settings.stop_s == 0.05
    assert settings.seeds == ("10.1.0.13:8166",)


@pytest.mark.parametrize(
    ("change", "text"),
    [
        (('zone = "patan"', ""), "zone"),
        (('front = "10.1.0.13:8161"', 'front = "nowhere"'), "front"),
        (("stop_ms = 50", 'stop_ms = "fast"'), "stop_ms"),
        (("[bounds]", "[bounds"), "read"),
    ],
)
def test_unusable_settings_are_refused_with_a_reason(
    tmp_path: Path, change: tuple[str, str], text: str
) -> None:
    """Guards against a start with invalid settings."""
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS.replace(*change))
    assert text in str(read_settings(str(path)).unwrap_err())


def test_the_longest_prefix_wins() -> None:
    """Guards against requests that are matched to the wrong route."""
    routes = decode_config(config()).unwrap()
    assert routes.find("nony24.example:80", "/lohu930/abc").name == "r-1"
    assert routes.find("NONY24.example", "/lohu930/deep/abc").name == "r-2"
    assert routes.find("other.example", "/lohu930/abc") is None
    assert routes.capacity_checked_services == {"svc"}


def test_a_worker_entry_is_decoded() -> None:
    """Guards against wrong capacities, and a drain that is not detected."""
    worker = decode_worker("i-1", json.dumps(ENTRY).encode()).unwrap()
    assert (worker.cpu, worker.memory_mb, worker.rack, worker.draining) == (
        16000,
        32768,
        "r1-3",
        False,
    )
    leaving = {**ENTRY, "state": "draining"}
    assert decode_worker("i-1", json.dumps(leaving).encode()).unwrap().draining


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"capacity": None},
        {"address": 7},
        {"address": "no-port"},
        {"labels": "a"},
    ],
)
def test_invalid_worker_entries_are_refused(change: dict[str, object]) -> None:
    """Guards against starting tasks at an address taken from an invalid entry."""
    assert decode_worker("i-1", json.dumps({**ENTRY, **change}).encode()).is_err()


@pytest.mark.parametrize("worker_id", ["", "a\r\nX-Fence: 1", "caf\u00e9", "a\0"])
def test_worker_entries_under_odd_keys_are_refused(worker_id: str) -> None:
    """Guards against header lines that another writer adds to the calls of workers."""
    assert decode_worker(worker_id, json.dumps(ENTRY).encode()).is_err()


@pytest.mark.parametrize(
    "value", [value for case in WORKER_ENTRIES_BY_CASE.values() for value in case.values()]
)
def test_odd_worker_entries_are_refused(value: bytes) -> None:
    """Guards against numbers that no message between hosts can hold, and addresses that fail
    before a connection begins."""
    assert decode_worker("i-1", value).is_err()


@pytest.mark.parametrize("value", ODD_CONFIGS.values(), ids=ODD_CONFIGS)
def test_odd_configurations_are_refused(value: bytes) -> None:
    """Guards against limits that close each connection, and versions that no message can hold."""
    assert decode_config(value).is_err()


@pytest.mark.parametrize("name", ODD_HOST_ENTRIES)
def test_odd_host_entries_are_refused(name: str) -> None:
    """Guards against sessions to addresses that are none, and entries in the name of another."""
    assert decode_host(f"a-{name}", ODD_HOST_ENTRIES[name]).is_err()


def test_a_host_entry_is_read_back() -> None:
    """Guards against fields that are encoded in another order than they are decoded."""
    host = HostRecord(
        name="front-1", address="10.0.0.1:80", domain="d", incarnation=2**52, weight=0.5
    )
    assert decode_host("front-1", encode_host(host)).unwrap() == host


@given(value=st.binary(max_size=80))
def test_any_bytes_are_refused_or_decoded(value: bytes) -> None:
    """Guards against a single invalid entry that aborts the decoding of all entries."""
    decode_worker("i-1", value)
    decode_config(value)


@given(
    job=st.text(alphabet="0123456789abcdef", min_size=16, max_size=16),
    step=st.integers(0, 50),
    index=st.integers(0, 10_000),
)
def test_task_names_are_read_back(job: str, step: int, index: int) -> None:
    """Guards against run ends that are matched to another task."""
    task = TaskId(job, step, index)
    assert parse_task_name(task_name(task)) == task


@given(name=st.text(max_size=40))
def test_any_task_name_is_read_or_refused(name: str) -> None:
    """Guards against a poll report that cannot be decoded because of one foreign task name."""
    parse_task_name(name)
