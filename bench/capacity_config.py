"""Size of configuration documents, and processor time to generate and parse them."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable
from typing import TypeVar

from eelgrassyard.config import (
    compress_document,
    demo_questionnaire,
    generate,
    parse_document,
    parse_questionnaire,
    render_document,
)
from eelgrassyard.policy import UpstreamEntry, UpstreamRole
from eelgrassyard.policy._config_pull import pack as pack_for_peer

from .capacity_series import Series, series

UPSTREAMS = (48, 350, 700, 1400)
HOSTS_PER_UPSTREAM = 8
CLOSED_PORT = 1
"""Port without listener: connections to placeholder upstreams are refused immediately."""

T = TypeVar("T")


def measure_config() -> list[Series]:
    """Measure documents of the Bagmati questionnaire with more hosts, runners and workers."""
    points: dict[str, list[tuple[float, float]]] = {}
    for upstreams in UPSTREAMS:
        for name, value in _measure(upstreams).items():
            points.setdefault(name, []).append((upstreams, value))
    units = {"plain_bytes": "B", "packed_bytes": "B", "peer_bytes": "B"}
    return [
        series("config", f"config.{name}", units.get(name, "ms"), values, "upstreams")
        for name, values in points.items()
    ]


def _measure(upstreams: int) -> dict[str, float]:
    runners = upstreams // 2
    questionnaire = demo_questionnaire(
        "bagmati",
        hosts=[(7000 + n, 8000 + n) for n in range(max(9, upstreams // HOSTS_PER_UPSTREAM))],
        runners=range(10_000, 10_000 + runners),
        workers=range(20_000, 20_000 + upstreams - runners),
    )
    text = json.dumps(questionnaire.answers.model_dump(mode="json", exclude_none=True), indent=1)
    read_ms = _timed(lambda: parse_questionnaire(text.encode(), file="bench.jsonc"))[1]
    generated, generate_ms = _timed(lambda: generate(questionnaire))
    document = render_document(
        generated.config, author="bench", origins_by_key=generated.origins_by_key
    )
    packed = compress_document(document)
    parse_ms = min(_timed(lambda: parse_document(packed).unwrap())[1] for _ in range(3))
    return {
        "plain_bytes": len(document),
        "packed_bytes": len(packed),
        "peer_bytes": len(pack_for_peer(packed)),
        "parse": parse_ms,
        "generate": generate_ms,
        "questionnaire": read_ms,
    }


def _timed(call: Callable[[], T]) -> tuple[T, float]:
    began = time.process_time()
    value = call()
    return value, (time.process_time() - began) * 1e3


def placeholder_upstreams(count: int) -> list[UpstreamEntry]:
    """Workers for configuration and host list that have no process."""
    source = random.Random(count)
    return [
        UpstreamEntry(
            name=f"patan-rack-{n // 16}-worker-{n:04}",
            role=UpstreamRole.WORKER,
            url=f"http://127.0.{n // 250}.{n % 250 + 1}:{CLOSED_PORT}",
            failure_domain="patan",
            rack=f"patan-rack-{n // 16}",
            cores=float(source.choice((16, 32, 64))),
            memory_mb=source.choice((65_536, 131_072)),
            accelerators=source.randrange(4),
        )
        for n in range(count)
    ]
