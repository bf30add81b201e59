"""Time and size of messages between dispatch hosts: ``python -m bench.bench_peer_codec``."""

from __future__ import annotations

import json
import time

import msgspec

from eelgrassyard.dispatch._jobs import Job, Outcome, Step
from eelgrassyard.dispatch._messages import JobEnded, Ping, Pong, Submit, ToClient, ToServer

ROUNDS = 20_000

JOB = Job(
    id="5c0e7a21d94b36f8",
    kind="r-3hwrr6x",
    service="huvo11a",
    payload="x" * 300,
    steps=(Step(count=8, cpu=27_000, memory_mb=64, estimate_s=0.06),),
)

MESSAGES = {
    "ping": Ping(number=77, config_version=7),
    "pong": Pong(number=77, config_version=7, free_by_service={"huvo11a": 12}),
    "submit": Submit(job=JOB, waited_s=0.001, caller_waits_s=1.5),
    "job ended": JobEnded(job_id=JOB.id, outcome=Outcome.COMPLETE),
}


def main() -> None:
    """Print a line a message, and a line of JSON."""
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
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
