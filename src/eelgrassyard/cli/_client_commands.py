"""Commands of a caller: submit, status, cancel."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping
from typing import Any

import anyio
from absl import flags

from ._answer import State, SubmissionAnswer
from ._client import DEFAULT_GIVE_UP_S, DEFAULT_WAIT_S, Client
from ._command import Command
from ._errors import CommandError, ExitCode
from ._flags import define_hosts, define_key, read_hosts, read_key
from ._input import read_input

EXIT_CODE_BY_STATE = {
    State.COMPLETE: ExitCode.DONE,
    State.RUNNING: ExitCode.DONE,
    State.NOT_SUBMITTED: ExitCode.DONE,
    State.FAILED: ExitCode.BROKEN,
    State.REFUSED: ExitCode.USAGE,
    State.NOT_RUN: ExitCode.NOT_RUN,
    State.UNKNOWN: ExitCode.UNKNOWN,
    State.NOT_TAKEN: ExitCode.UNREACHABLE,
    State.LOST: ExitCode.UNKNOWN,
    State.UNREACHED: ExitCode.UNREACHABLE,
}

ID_BATCH_FACTOR = 8
"""Number of ids requested at a time, as a multiple of the concurrent submissions."""

SEVERITY = (
    ExitCode.DONE,
    ExitCode.NOT_RUN,
    ExitCode.UNREACHABLE,
    ExitCode.USAGE,
    ExitCode.BROKEN,
    ExitCode.UNKNOWN,
)
"""Exit codes by increasing severity; the most severe one of all submissions is reported."""


def read_submissions(data: bytes, name: str) -> list[dict[str, Any]]:
    """Parse one submission, or one per line.

    :raises CommandError: naming the first invalid line.
    """
    try:
        return [_checked(json.loads(data), name, 1)]
    except ValueError:
        pass
    submissions = []
    for number, line in enumerate(data.splitlines(), start=1):
        if not line.strip():
            continue
        try:
            submissions.append(_checked(json.loads(line), name, number))
        except (ValueError, RecursionError) as error:
            raise CommandError(
                ExitCode.USAGE, f"not JSON: {error}", step="submit", peer=f"{name}:{number}"
            ) from error
    if not submissions:
        raise CommandError(ExitCode.USAGE, "no submission", step="submit", peer=name)
    return submissions


def _checked(value: Any, name: str, line: int) -> dict[str, Any]:
    tasks = value.get("tasks") if isinstance(value, dict) else None
    if not isinstance(tasks, list) or not tasks or not isinstance(value.get("kind"), str):
        raise CommandError(
            ExitCode.USAGE,
            'a submission is an object with "kind" and a list "tasks" of at least one task',
            step="submit",
            peer=f"{name}:{line}",
        )
    return dict(value)


def worst_exit_code(codes: list[ExitCode]) -> ExitCode:
    """Return the most severe exit code, or ``DONE`` if there is none."""
    return max(codes, key=SEVERITY.index, default=ExitCode.DONE)


def _define_submit(values: flags.FlagValues) -> None:
    define_hosts(values)
    define_key(values)
    flags.DEFINE_string(
        "id", "", "Resubmit one submission under this id instead of a new one.", flag_values=values
    )
    flags.DEFINE_float(
        "give_up_s",
        DEFAULT_GIVE_UP_S,
        "Seconds after which the command stops waiting for outcomes.",
        lower_bound=0,
        upper_bound=86_400,
        flag_values=values,
    )
    flags.DEFINE_float(
        "wait_s",
        DEFAULT_WAIT_S,
        "Seconds that one call is held open for the answer.",
        lower_bound=0,
        upper_bound=60,
        flag_values=values,
    )
    flags.DEFINE_bool(
        "run_again",
        False,
        "After not_run with Retry-After, resubmit under a new id.",
        flag_values=values,
    )
    flags.DEFINE_integer(
        "at_once",
        64,
        "Limit on concurrent submissions.",
        lower_bound=1,
        upper_bound=512,
        flag_values=values,
    )
    flags.DEFINE_bool("quiet", False, "Show no progress on stderr.", flag_values=values)


def _submit(values: Any, arguments: list[str]) -> int:
    submissions = read_submissions(read_input(arguments[0]), arguments[0])
    if values.id and len(submissions) > 1:
        raise CommandError(ExitCode.USAGE, "--id goes with one submission", step="submit")
    return anyio.run(_submit_all, values, submissions)


async def _submit_all(values: Any, submissions: list[dict[str, Any]]) -> int:
    client = Client(hosts=read_hosts(values), key=read_key(values))
    try:
        codes: list[ExitCode] = []
        progress = _Progress(total=len(submissions), quiet=values.quiet)
        limiter = anyio.CapacityLimiter(values.at_once)

        async def run(submission: Mapping[str, Any], submission_id: str) -> None:
            async with limiter:
                answer = await client.run(
                    submission,
                    submission_id=submission_id,
                    wait_s=values.wait_s,
                    give_up_s=values.give_up_s,
                    run_again=values.run_again,
                    on_progress=progress.repeat,
                )
            progress.end(answer)
            codes.append(EXIT_CODE_BY_STATE[answer.state])
            print(json.dumps(answer.to_json(), ensure_ascii=False), flush=True)

        # Ids expire, so those for a long file are requested in batches.
        part = values.at_once * ID_BATCH_FACTOR
        for start in range(0, len(submissions), part):
            chosen = submissions[start : start + part]
            ids = [values.id] if values.id else await _take_ids(client, chosen, values.give_up_s)
            async with anyio.create_task_group() as group:
                for submission, submission_id in zip(chosen, ids, strict=True):
                    group.start_soon(run, submission, submission_id)
    finally:
        await client.close()
    return worst_exit_code(codes)


async def _take_ids(
    client: Client, submissions: list[dict[str, Any]], give_up_s: float
) -> list[str]:
    """Request an id for each submission, one request per kind of work."""
    kinds = [str(submission["kind"]) for submission in submissions]
    ids_by_kind = {
        kind: await client.take_ids(kinds.count(kind), kind=kind, give_up_s=give_up_s)
        for kind in sorted(set(kinds))
    }
    return [ids_by_kind[kind].pop(0) for kind in kinds]


class _Progress:
    """Shows on stderr, if it is a terminal, how many submissions ended and calls were retried."""

    def __init__(self, *, total: int, quiet: bool) -> None:
        self._total = total
        self._quiet = quiet
        self._ended = 0
        self._repeated = 0

    def repeat(self, answer: SubmissionAnswer) -> None:
        self._repeated += answer.state is not State.RUNNING
        self._show()

    def end(self, answer: SubmissionAnswer) -> None:
        self._ended += 1
        self._show()

    def _show(self) -> None:
        if not self._quiet and sys.stderr.isatty():
            text = f"\r{self._ended} of {self._total} ended, {self._repeated} calls repeated"
            print(text, end="" if self._ended < self._total else "\n", file=sys.stderr, flush=True)


def _define_status(values: flags.FlagValues) -> None:
    define_hosts(values)
    define_key(values)
    flags.DEFINE_float(
        "wait_s",
        0.0,
        "Seconds to wait for the outcome.",
        lower_bound=0,
        upper_bound=60,
        flag_values=values,
    )


def _define_cancel(values: flags.FlagValues) -> None:
    define_hosts(values)
    define_key(values)


def _status(values: Any, arguments: list[str]) -> int:
    return anyio.run(_query_or_cancel, values, arguments[0], False)


def _cancel(values: Any, arguments: list[str]) -> int:
    answer_code = anyio.run(_query_or_cancel, values, arguments[0], True)
    return ExitCode.DONE if answer_code in (ExitCode.NOT_RUN, ExitCode.BROKEN) else answer_code


async def _query_or_cancel(values: Any, submission_id: str, cancel: bool) -> int:
    client = Client(hosts=read_hosts(values), key=read_key(values))
    try:
        if cancel:
            answer = await client.cancel(submission_id)
        else:
            answer = await client.query(submission_id, wait_s=values.wait_s)
    finally:
        await client.close()
    print(json.dumps(answer.to_json(), ensure_ascii=False))
    return EXIT_CODE_BY_STATE[answer.state]


COMMANDS = (
    Command(
        name="submit",
        summary="submit jobs or requests and print their outcomes",
        arguments="FILE",
        counts=(1, 1),
        text="""
            Submits the contents of FILE (- for stdin): one submission, or one per line. Ids are
            requested first. A submission whose answer is lost or unknown is retried with the same
            id at the next host until the outcome is known or --give_up_s have passed.

            Prints one line of JSON for each submission when it ends: id, state, results or reason,
            and the number of calls. The exit code is the most severe one of all submissions. A
            submission that is unknown can be retried later with --id.""",
        define=_define_submit,
        run=_submit,
    ),
    Command(
        name="status",
        summary="show the state or outcome of a submission",
        arguments="ID",
        counts=(1, 1),
        text="""
            Queries the hosts in turn until one answers, and prints the state as a line of JSON. The
            exit code is 0 for running, complete and not_submitted, and otherwise that of the
            outcome.""",
        define=_define_status,
        run=_status,
    ),
    Command(
        name="cancel",
        summary="cancel a submission",
        arguments="ID",
        counts=(1, 1),
        text="""
            Cancels a submission and prints its state. If nothing has started it is not_run;
            otherwise its tasks are stopped and it has failed. Both count as done.""",
        define=_define_cancel,
        run=_cancel,
    ),
)
