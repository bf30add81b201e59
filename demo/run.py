"""Runs the demo on a site: ``python -m demo.run --site=bagmati`` (or savannah)."""

from __future__ import annotations

import json
import logging
import pathlib
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Mapping
from typing import Any

import anyio
import httpx
from absl import app, flags

from eelgrassyard.cli import Client, State, SubmissionAnswer
from eelgrassyard.standins import digest

from .checks import Report, SubmissionRecord
from .processes import RUNNER_SPEEDS, WORKER_SPEEDS, DemoHostProcess, DemoSite

FLAGS = flags.FLAGS
flags.DEFINE_enum("site", "bagmati", ["bagmati", "savannah"], "Site to run.")
flags.DEFINE_string("keep", None, "Keep settings and logs in this folder.")
flags.DEFINE_float("load_s", 16.0, "Seconds of load while hosts are stopped.")
flags.DEFINE_float("rate", 25.0, "Submissions a second during the load.")

READY_TIMEOUT_S = 20.0
JOB_SHARE = 0.15
JOB_TASKS = 8
SEED = 20261204


def print_line(text: str) -> None:
    """Print a line at once, without buffering."""
    print(text, flush=True)


async def wait_ready(site: DemoSite) -> None:
    """Wait until every host is ready to serve callers.

    :raises TimeoutError: if one does not within ``READY_TIMEOUT_S``.
    """
    async with httpx.AsyncClient(trust_env=False) as client:
        with anyio.fail_after(READY_TIMEOUT_S):
            for host in site.hosts:
                while not await _is_ready(client, host):
                    await anyio.sleep(0.1)


async def _is_ready(client: httpx.AsyncClient, host: DemoHostProcess) -> bool:
    try:
        return (await client.get(f"{host.url}/readyz")).status_code == 200
    except httpx.HTTPError:
        return False


async def count_starts(site: DemoSite) -> Counter[str]:
    """Return the number of starts of each task, as counted by the upstreams."""
    starts: Counter[str] = Counter()
    async with httpx.AsyncClient(trust_env=False) as client:
        for url in site.upstream_urls:
            starts.update((await client.get(f"{url}/counts")).json())
    return starts


def submit_file(site: DemoSite, report: Report) -> None:
    """Submit the example file of the site with the command-line tool and check the answers."""
    path = pathlib.Path(__file__).parent / f"{site.site}.jsonl"
    bodies = [json.loads(line) for line in path.read_text().splitlines()]
    caller = site.callers[0]
    done = site.run_tool("submit", str(path), f"--hosts={','.join(site.host_urls)}", key=caller)
    answers = [json.loads(line) for line in done.stdout.splitlines() if line.startswith("{")]
    print_line(done.stderr.strip()[-400:])
    report.require(done.returncode == 0, f"submit exits with 0, not {done.returncode}")
    report.require(len(answers) == len(bodies), "an answer for every submission of the file")
    for answer in answers:
        text = json.dumps(answer)
        print_line(f"  {text[:160]}")
        report.require(answer.get("state") == "complete", f"complete: {text[:300]}")
    expected = sorted(digest(task["payload"]) for body in bodies for task in body["tasks"])
    found = sorted(result["answer"] for each in answers for result in each.get("results", []))
    report.require(found == expected, "the answers of the file are those to its tasks")


class LoadGenerator:
    """Submits work with random arrivals while faults are injected."""

    def __init__(self, *, site: DemoSite, report: Report, seed: int) -> None:
        self._site = site
        self._report = report
        self._random = random.Random(seed)
        self._clients = {
            name: Client(hosts=site.host_urls, key=site.key_by_name[name], seed=seed)
            for name in site.callers
        }

    async def close(self) -> None:
        """Close the clients."""
        for client in self._clients.values():
            await client.close()

    async def run(self, seconds: float, rate: float) -> None:
        """Submit with Poisson arrivals and wait for all answers."""
        ends = time.monotonic() + seconds
        async with anyio.create_task_group() as group:
            number = 0
            while time.monotonic() < ends:
                caller, body = self._choose(number)
                group.start_soon(self.submit, caller, body)
                number += 1
                await anyio.sleep(self._random.expovariate(rate))

    async def submit(self, caller: str, body: Mapping[str, Any]) -> SubmissionAnswer:
        """Submit one body and record its answer."""
        started = time.monotonic()
        answer = await self._clients[caller].run(
            body, run_again=True, give_up_s=20.0, on_progress=self._report.note_progress
        )
        self._report.runs.append(
            SubmissionRecord(
                caller=caller,
                body=body,
                answer=answer,
                seconds=time.monotonic() - started,
                ideal_s=self._ideal_s(body),
            )
        )
        return answer

    async def resubmit(
        self, caller: str, submission_id: str, body: Mapping[str, Any]
    ) -> SubmissionAnswer:
        """Submit again under the same id."""
        client = self._clients[caller]
        return await client.run(body, submission_id=submission_id, give_up_s=30.0)

    def _choose(self, number: int) -> tuple[str, dict[str, Any]]:
        caller = self._random.choice(self._site.callers)
        entry = self._site.config.callers_by_name[caller]
        kinds = [
            kind
            for name, kind in self._site.config.kinds_by_name.items()
            if not entry.kinds or name in entry.kinds
        ]
        requests = [kind for kind in kinds if kind.service]
        jobs = [kind for kind in kinds if not kind.service]
        as_job = jobs and (not requests or self._random.random() < JOB_SHARE)
        kind = self._random.choice(jobs if as_job else requests)
        count = JOB_TASKS if as_job else 1
        tasks = [
            {
                "payload": {"number": number, "part": part, "work_s": self._work_s()},
                "cores": 1,
                "memory_mb": 128,
            }
            for part in range(count)
        ]
        return caller, {"kind": kind.name, "tasks": tasks}

    def _work_s(self) -> float:
        return round(min(0.05 + self._random.expovariate(5.0), 2.0), 3)

    def _ideal_s(self, body: Mapping[str, Any]) -> float:
        kind = self._site.config.kinds_by_name[body["kind"]]
        speed = max(RUNNER_SPEEDS if kind.service else WORKER_SPEEDS)
        return max(task["payload"]["work_s"] for task in body["tasks"]) / speed


async def show_resubmission(site: DemoSite, report: Report, load: LoadGenerator) -> None:
    """Check that resubmission of an id returns the same answer and starts nothing again."""
    caller, body = find_non_idempotent(site)
    first = await load.submit(caller, body)
    again = [await load.resubmit(caller, first.submission_id, body) for _ in site.hosts]
    same = all(each.results == first.results for each in again)
    starts = (await count_starts(site))[f"{first.submission_id}/0"]
    report.require(same and first.state is State.COMPLETE, "a resubmission gets the same answer")
    report.require(starts == 1, f"a resubmission does not run twice (started {starts} times)")
    print_line(f"resubmitted {len(again)} times: same answer {same}, starts {starts}")


def find_non_idempotent(site: DemoSite) -> tuple[str, dict[str, Any]]:
    """Return a caller and the body of a non-idempotent request that it may submit."""
    for kind in site.config.kinds_by_name.values():
        for caller in site.callers:
            kinds = site.config.callers_by_name[caller].kinds
            if kind.service and not kind.idempotent and (not kinds or kind.name in kinds):
                payload = {"page": 41, "stamp": "audit", "work_s": 0.1}
                return caller, {"kind": kind.name, "tasks": [{"payload": payload}]}
    raise LookupError("no kind of request is marked as non-idempotent")


async def show_refusal(site: DemoSite, report: Report, load: LoadGenerator) -> None:
    """Check that a job too large for any upstream is refused; print the reason."""
    for kind in site.config.kinds_by_name.values():
        for caller in site.callers:
            kinds = site.config.callers_by_name[caller].kinds
            if not kind.service and (not kinds or kind.name in kinds):
                task = {"payload": {"work_s": 0.1}, "cores": 4096, "memory_mb": 128}
                answer = await load.submit(caller, {"kind": kind.name, "tasks": [task]})
                report.require(answer.state is State.NOT_RUN, "an impossible job is refused")
                print_line(f"impossible job: {answer.state}, {answer.message}")
                return


async def stop_hosts(site: DemoSite, report: Report, load_s: float) -> None:
    """Drain one host after a third of the load and kill another after two thirds."""
    drained, killed = site.hosts[1], site.hosts[2]
    await anyio.sleep(load_s / 3)
    print_line(f"planned stop of {drained.name}")
    assert drained.process is not None
    drained.process.send_signal(signal.SIGTERM)
    await anyio.sleep(load_s / 3)
    print_line(f"kill of {killed.name}")
    assert killed.process is not None
    killed.process.kill()
    code = await anyio.to_thread.run_sync(drained.process.wait, 60)
    report.require(code == 0, f"a planned stop ends with exit code 0, not {code}")


async def run_main_job(site: DemoSite, report: Report) -> Counter[str]:
    """Run all steps of the demo; returns the number of starts of each task."""
    site.start_standins()
    site.start_hosts()
    applied = site.apply()
    print_line((applied.stdout + applied.stderr).strip())
    report.require(applied.returncode == 0, "the configuration is in force on every host")
    await wait_ready(site)
    submit_file(site, report)
    load = LoadGenerator(site=site, report=report, seed=SEED)
    await show_resubmission(site, report, load)
    await show_refusal(site, report, load)
    print_line(f"load: {FLAGS.rate:g} submissions a second for {FLAGS.load_s:g} s")
    async with anyio.create_task_group() as group:
        group.start_soon(stop_hosts, site, report, FLAGS.load_s)
        await load.run(FLAGS.load_s, FLAGS.rate)
    await load.close()
    return await count_starts(site)


def run_demo(folder: pathlib.Path) -> int:
    """Run the demo with its files in a folder; returns the exit code."""
    report = Report()
    site = DemoSite(site=FLAGS.site, folder=folder)
    started = time.monotonic()
    print_line(f"{FLAGS.site}: {len(site.hosts)} hosts, {len(site.upstream_urls)} upstreams")
    try:
        starts = anyio.run(run_main_job, site, report)
    finally:
        stuck = site.stop()
    report.require(not stuck, f"every process ends when asked to ({', '.join(stuck)})")
    report.check_answers()
    idempotent = {name: kind.idempotent for name, kind in site.config.kinds_by_name.items()}
    report.check_starts(starts, idempotent)
    report.check_outcomes(site.hosts[2].name)
    print_line("")
    print_line(report.table(starts))
    print_line(f"took {time.monotonic() - started:.0f} s")
    for promise in report.broken:
        print_line(f"BROKEN: {promise}")
    return 1 if report.broken else 0


def main(arguments: list[str]) -> int:
    """Run the demo in a kept or a temporary folder."""
    logging.getLogger("httpx").setLevel(logging.WARNING)
    if FLAGS.keep:
        folder = pathlib.Path(FLAGS.keep)
        folder.mkdir(parents=True, exist_ok=True)
        return run_demo(folder)
    with tempfile.TemporaryDirectory() as name:
        return run_demo(pathlib.Path(name))


if __name__ == "__main__":
    sys.exit(app.run(main))
