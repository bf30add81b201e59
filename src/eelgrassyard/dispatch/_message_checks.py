"""Checks of messages of other hosts beyond the types and ranges of single fields.

Another release, or a fault of another host, may send what the core has no answer to.
"""

from __future__ import annotations

import math

import msgspec
from result import Err, Ok, Result

from .._addresses import parse_address
from ._jobs import Job
from ._messages import Hello, HostRecord, KnownHosts, Lend, Message, Pong, Resigned, Submit

MAX_NAME_CHARS = 256
MAX_INCARNATION = 2**53
"""Microseconds of the Unix epoch until the year 2255. A record with a later start would never be
replaced by that of the next process."""

MAX_WEIGHT = 1e6
MAX_TASKS = 10_000
"""Tasks of one job."""


def check_host(host: HostRecord) -> Result[HostRecord, str]:
    """Check a host's record; the error is the reason if it is unusable."""
    if not 0 < len(host.name) <= MAX_NAME_CHARS or len(host.domain) > MAX_NAME_CHARS:
        return Err("a host's name is empty or too long")
    if not 0 <= host.incarnation <= MAX_INCARNATION:
        return Err(f"host {host.name!a} has no plausible start time")
    if not (math.isfinite(host.weight) and 0.0 <= host.weight <= MAX_WEIGHT):
        return Err(f"host {host.name!a} has no plausible weight")
    return parse_address(host.address).map(lambda _: host)


def check_message(message: Message) -> Result[Message, str]:
    """Check a message; the error is the reason if it must not be handled.

    :returns: the message, without the unusable ones of several hosts.
    """
    match message:
        case Hello(host=host) | Pong(leader=HostRecord() as host):
            return check_host(host).map(lambda _: message)
        case Resigned(successor=HostRecord() as host):
            # Its followers search for a new leader then.
            usable = check_host(host).is_ok()
            return Ok(message if usable else msgspec.structs.replace(message, successor=None))
        case KnownHosts(hosts=hosts):
            return Ok(KnownHosts(hosts=tuple(host for host in hosts if check_host(host).is_ok())))
        case Submit(job=job):
            return _check_job(job).map(lambda _: message)
        case Lend():
            return _check_job(message.job).and_then(lambda _: _check_lend(message))
        case _:
            return Ok(message)


def _check_job(job: Job) -> Result[Job, str]:
    if not job.id or not job.steps:
        return Err("a job without an id or steps")
    if sum(step.count for step in job.steps) > MAX_TASKS:
        return Err(f"job {job.id!a} has too many tasks")
    for number, step in enumerate(job.steps):
        if any(earlier >= number for earlier in step.after):
            return Err(f"step {number} of job {job.id!a} waits for one that is not earlier")
    return Ok(job)


def _check_lend(message: Lend) -> Result[Message, str]:
    job, step = message.job, message.step
    if step >= len(job.steps):
        return Err(f"job {job.id!a} has no step {step}")
    if not message.tasks or any(index >= job.steps[step].count for index, _ in message.tasks):
        return Err(f"step {step} of job {job.id!a} has no such tasks")
    return Ok(message)
