"""Command ``eelgrassyard-platform where``: asks a host where a job would be placed, and why."""

from __future__ import annotations

import http.client
import sys
import urllib.parse
from collections.abc import Iterator
from pathlib import Path

import msgspec

from .._decoding import decode
from ..dispatch._placement_report import OtherDomain, PlacementReport, StepForecast
from ._explain import Explanation

TIMEOUT_S = 5.0

MAX_NAMED_WORKERS = 8
"""Workers that are named for each reason; the others are counted."""

_decoder = msgspec.json.Decoder(Explanation)


def where(address: str, job_file: str, *, kind: str) -> bool:
    """Print where the job in a file would be placed; False if the host cannot say."""
    try:
        body = Path(job_file).read_bytes()
    except OSError as error:
        print(f"{job_file}: {error}", file=sys.stderr)
        return False
    query = "?" + urllib.parse.urlencode({"kind": kind}) if kind else ""
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        connection.request("POST", f"/explain{query}", body)
        answer = connection.getresponse()
        raw = answer.read()
    except (OSError, http.client.HTTPException, ValueError) as error:
        print(f"{address}: explain: {error}", file=sys.stderr)
        return False
    finally:
        connection.close()
    result = decode(_decoder, raw)
    if answer.status != 200 or result.is_err():
        reason = raw.decode(errors="replace") or "no text"
        print(f"{address}: explain: status {answer.status}: {reason}", file=sys.stderr)
        return False
    for line in describe(result.unwrap()):
        print(line)
    return True


def describe(explanation: Explanation) -> Iterator[str]:
    """Lines that tell an operator where a job would be placed, and why."""
    leader = explanation.leader or "none known"
    yield f"job {explanation.job} of kind {explanation.kind}, domain {explanation.domain}"
    yield f"leader: {leader}"
    if explanation.rejection is not None:
        rejection = explanation.rejection
        yield f"decision: {explanation.host} answers {rejection.status}: {rejection.reason}"
    elif explanation.report is None:
        yield f"{explanation.host} does not lead; ask {leader}"
    else:
        yield from _describe_report(explanation.report)


def _describe_report(report: PlacementReport) -> Iterator[str]:
    because = f": {report.rule}" if report.rule else ""
    yield f"decision: {report.decision}{because}"
    yield f"queue: rank {report.rank}, {report.queue_length} tasks wait"
    end = "not known" if report.ends_in_s is None else f"in {report.ends_in_s:.3f} s"
    yield (
        f"times: latest start in {report.start_by_s:.3f} s, due in {report.due_in_s:.3f} s, "
        f"caller waits {report.caller_waits_s:.3f} s, predicted end {end}"
    )
    for step in report.steps:
        yield from _describe_step(step)
    for other in report.other_domains:
        yield _describe_domain(other)


def _describe_step(step: StepForecast) -> Iterator[str]:
    if step.after:
        yield f"step {step.step}: after steps {', '.join(map(str, step.after))}; not planned"
        return
    for task in step.tasks:
        yield (
            f"step {step.step} task {task.index}: worker {task.worker}, "
            f"starts in {task.starts_in_s:.3f} s, ends in {task.ends_in_s:.3f} s"
        )
    if step.unplaced:
        yield f"step {step.step}: no worker is predicted for {step.unplaced} tasks"
    workers_by_reason: dict[str, list[str]] = {}
    for worker, reason in sorted(step.reason_by_worker.items()):
        workers_by_reason.setdefault(reason, []).append(worker)
    for reason, workers in workers_by_reason.items():
        more = len(workers) - MAX_NAMED_WORKERS
        names = ", ".join(workers[:MAX_NAMED_WORKERS]) + (f" and {more} more" if more > 0 else "")
        yield f"step {step.step}: not on {names}: {reason}"


def _describe_domain(other: OtherDomain) -> str:
    offered = "; it is offered a task that finds no worker" if other.is_offered else ""
    return f"other domain {other.domain}: room for {other.slots} tasks as last reported{offered}"
