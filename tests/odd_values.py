"""Odd values that another writer may leave in the platform's store, and valid ones."""

from __future__ import annotations

import json

ROUTE_HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "svc"


def nested(depth: int, **fields: object) -> bytes:
    """Return a JSON object with a field of nested arrays that no decoder needs."""
    text = json.dumps({**fields, "note": 0})
    return text.removesuffix("0}").encode() + b"[" * depth + b"]" * depth + b"}"


def worker_entry(**changes: object) -> bytes:
    """Return a worker entry with some fields changed."""
    entry = {
        "service": SERVICE,
        "address": "127.0.0.1:9",
        "zone": "d0",
        "state": "ready",
        "capacity": {"cpu": 64_000, "mem_mb": 131_072, "gpu": 0},
        "labels": ["a", "r1"],
    }
    return json.dumps({**entry, **changes}).encode()


def capacity(cpu: int) -> dict[str, int]:
    """Return the capacity field of a worker entry."""
    return {"cpu": cpu, "mem_mb": 1024, "gpu": 0}


def host_entry(
    name: str, *, address: str = "127.0.0.1:9", incarnation: int = 1, weight: float = 1.0
) -> bytes:
    """Return a host entry that names another domain."""
    return json.dumps([name, address, "elsewhere", incarnation, weight]).encode()


def config(version: int, **changes: object) -> bytes:
    """Return a configuration with some fields changed."""
    route = {
        "name": "r-1",
        "host": ROUTE_HOST,
        "prefix": PREFIX,
        "service": SERVICE,
        "timeout_ms": 1500,
        "target_duration_ms": 60,
        "max_attempts": 3,
    }
    document = {"version": version, "routes": [route], "services": [{"name": SERVICE}]}
    return json.dumps({**document, **changes}).encode()


NOT_READABLE = {
    "empty": b"",
    "not-json": b"\x00\x01{",
    "not-utf-8": b'{"service":"\xff\xfe"}',
    "surrogate": b'{"service":"\\ud800"}',
    "other-type": b"[1, 2, 3]",
    "null": b"null",
    "cut-off": worker_entry()[:-9],
}

NESTED = {
    "deep-1100": nested(1_100, service="x"),
    "deep-100000": nested(100_000, service="x"),
    "deep-unclosed": b"[" * 100_000,
}

WORKER_ENTRIES_BY_CASE = {
    "nested": NESTED,
    "number": {
        "cpu-10^400": worker_entry(capacity=capacity(10**400)),
        "cpu-2^64": worker_entry(capacity=capacity(2**64)),
        "cpu-2^63": worker_entry(capacity=capacity(2**63)),
        "cpu-negative": worker_entry(capacity=capacity(-1)),
        "cpu-digits": worker_entry().replace(b"64000", b"9" * 5_000),
        "cpu-exponent": worker_entry().replace(b"64000", b"1e999999999"),
        "cpu-fraction": worker_entry().replace(b"64000", b"0.5"),
    },
    "address": {
        "port-0": worker_entry(address="127.0.0.1:0"),
        "port-70000": worker_entry(address="127.0.0.1:70000"),
        "port-negative": worker_entry(address="127.0.0.1:-1"),
        "port-digits": worker_entry(address="127.0.0.1:" + "9" * 5_000),
        "port-missing": worker_entry(address="127.0.0.1"),
        "address-nul": worker_entry(address="127.0.0.1\0:9"),
        "address-long": worker_entry(address="a" * 300 + ":9"),
        "address-range": worker_entry(address="999.1.1.1:9"),
    },
    "form": {
        **NOT_READABLE,
        "state": worker_entry(state="resting"),
        "service": worker_entry(service=7),
        "capacity": worker_entry(capacity=None),
        "labels": worker_entry(labels={"a": "r1"}),
    },
}

ODD_CONFIGS = {
    **NESTED,
    **NOT_READABLE,
    "version-10^400": config(10**400),
    "version-2^64": config(2**64),
    "version-2^63": config(2**63),
    "version-negative": config(-1),
    "limits-negative": config(99, limits={"header_timeout_ms": -1}),
    "limits-2^70": config(99, limits={"max_body_bytes": 2**70}),
    "routes": config(99, routes=[{"name": "r-1"}]),
}

ODD_HOST_ENTRIES = {
    **NESTED,
    **NOT_READABLE,
    "incarnation-2^70": host_entry("a-incarnation-2^70", incarnation=2**70),
    "incarnation-negative": host_entry("a-incarnation-negative", incarnation=-1),
    "weight-negative": host_entry("a-weight-negative", weight=-1.0),
    "port-70000": host_entry("a-port-70000", address="127.0.0.1:70000"),
    "port-missing": host_entry("a-port-missing", address="127.0.0.1"),
    "port-word": host_entry("a-port-word", address="127.0.0.1:x"),
    "address-nul": host_entry("a-address-nul", address="127.0.0.1\0:9"),
    "name-of-another": host_entry("d0-h0"),
    "name-empty": host_entry(""),
}

ODD_ITEMS: list[dict[str, object]] = [
    {"value": 7, "lease": 0},
    {"value": None, "lease": 0},
    {"value": "", "lease": 2**64},
    {"value": "", "lease": -1},
    {"value": "", "lease": "none"},
    {"value": "", "lease": 0, "deleted": 1},
]
"""Fields of items that are not as the store's page says."""
