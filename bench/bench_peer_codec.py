"""Processor time and size of messages between hosts, and processor time of log lines.

Usage: ``PYTHONPATH=src:. python -m bench.bench_peer_codec``
"""

from __future__ import annotations

import json
import os
import time

import msgspec

from eelgrassyard._journal import BURST_LINES, Journal
from eelgrassyard.dispatch._jobs import Job, Outcome, Step
from eelgrassyard.dispatch._messages import JobEnded, Ping, Pong, Submit, ToClient, ToServer

ROUNDS = 20_000

LINES = int(BURST_LINES) - 200
"""Number of log lines to write; less than the rate limit on log lines allows in a burst."""

JOB = Job(
    id="5c0e7a21d94b36f8",
    kind="r-3hwrr6x",
    service="huvo11a",
    payload="x" * 300,
    steps=(Step(count=8, cpu=27_000, memory_mb=64, estimate_s=0.06),),
)

MESSAGES = {
    "ping": Ping(number=77, config_version=7),
    "pong": Pong(
        number=77, config_version=7, room_by_service={"huvo11a": {-3: (32000, 64000), 4: (40000,)}}
    ),
    "submit": Submit(job=JOB, waited_s=0.001, caller_waits_s=1.5),
    "job ended": JobEnded(job_id=JOB.id, outcome=Outcome.COMPLETE),
}


def main() -> None:
    """Print a line per message type and a line of JSON."""
    encoder = msgspec.msgpack.Encoder()
    decoder = msgspec.msgpack.Decoder(list[ToServer | ToClient])
    figures: dict[str, dict[str, float]] = {}
    for name, message in MESSAGES.items():
        frame = encoder.encode([message])
        began = time.process_time()
        for _ in range(ROUNDS):
            encoder.encode([message])
        encoded = time.process_time()
        for _ in range(ROUNDS):
            decoder.decode(frame)
        decoded = time.process_time()
        figures[name] = {
            "bytes": len(frame),
            "build_us": round((encoded - began) / ROUNDS * 1e6, 2),
            "read_us": round((decoded - encoded) / ROUNDS * 1e6, 2),
        }
        print(f"{name:10} {figures[name]}")
    figures["log line"] = {"build_us": _log_line_us()}
    print(f"{'log line':10} {figures['log line']}")
    print(json.dumps(figures))


def _log_line_us() -> float:
    """Processor time in microseconds of a log line about a decision, written to the null device."""
    with open(os.devnull, "wb") as sink:
        journal = Journal(host="front-patan-1", descriptor=sink.fileno())
        fields = {"task": f"{JOB.id}/0/3", "run": 1, "worker": "i-7f3a91c2", "left_s": 0.104}
        began = time.process_time()
        for _ in range(LINES):
            journal.write("run_ordered", fields)
        return round((time.process_time() - began) / LINES * 1e6, 2)


if __name__ == "__main__":
    main()
