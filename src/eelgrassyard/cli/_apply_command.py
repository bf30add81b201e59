"""The apply command: writes a configuration and waits for its rollout."""

from __future__ import annotations

import sys
from typing import Any

import anyio
from absl import flags
from result import Err, Ok

from ..config import Document
from ..policy import SiteConfig
from ._apply import Applied, Applier, ApplyConflict
from ._command import Command
from ._errors import CommandError, ExitCode
from ._flags import STORE_VARIABLE, check_url, define_key, define_store, read_key
from ._input import load_document
from ._rollout import POLL_INTERVAL_S, RolloutStatus, wait_for_revision
from ._store import StoreClient

DEFAULT_WAIT_S = 19.0
"""A change must be in force on every host within 19 s."""


def _define(values: flags.FlagValues) -> None:
    define_store(values)
    flags.DEFINE_integer(
        "expect",
        None,
        "Write only if the store holds this revision (0: nothing yet); the revision found in the "
        "store at the start if left out.",
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_float(
        "wait_s",
        DEFAULT_WAIT_S,
        "Seconds to wait until the revision is in force on every host; 0 for not at all.",
        lower_bound=0,
        upper_bound=600,
        flag_values=values,
    )
    flags.DEFINE_list(
        "hosts",
        "",
        "Base URLs of the hosts to poll; those in the document if left out.",
        flag_values=values,
    )
    define_key(values)


def _run(values: Any, arguments: list[str]) -> int:
    if not values.store:
        raise CommandError(ExitCode.USAGE, f"give --store or set {STORE_VARIABLE}", step="apply")
    check_url(values.store, "store")
    key = read_key(values, required=values.wait_s > 0)
    data, document = load_document(arguments[0])
    return anyio.run(_apply, values, data, document, key)


async def _apply(values: Any, data: bytes, document: Document, key: str) -> int:
    store = StoreClient(url=values.store.rstrip("/"))
    try:
        applier = Applier(
            store=store,
            key=values.config_key,
            document=data,
            sleep=anyio.sleep,
            expect=values.expect,
        )
        result = await applier.apply()
    finally:
        await store.close()
    match result:
        case Err(error):
            raise CommandError(ExitCode.UNREACHABLE, str(error))
        case Ok(ApplyConflict() as conflict):
            return report_conflict(conflict)
        case Ok(Applied() as applied):
            report_applied(applied, store.calls_by_name.total())
            if values.wait_s <= 0:
                return ExitCode.DONE
            return await _wait(values, applied.revision, document.config, key)
    raise AssertionError("unreachable")


def report_applied(applied: Applied, calls: int) -> None:
    """Print the revision and its changes."""
    for change in applied.changes:
        print(change)
    if applied.replaced_by:
        print(
            f"change {applied.change_id} was written; {applied.replaced_by} has put revision "
            f"{applied.revision} on top of it"
        )
    elif applied.was_in_force:
        print(f"revision {applied.revision} already holds this configuration")
    else:
        print(f"written as revision {applied.revision}, change {applied.change_id}")
    print(f"store calls: {calls}")


def report_conflict(conflict: ApplyConflict) -> int:
    """Print who wrote the stored document and how it differs from ours."""
    if conflict.concurrent_changes:
        print("changes made by the other operator:")
        for change in conflict.concurrent_changes:
            print(f"  {change}")
    print("changes if yours were applied on top:")
    for change in conflict.changes:
        print(f"  {change}")
    print(
        f"apply: conflict: revision {conflict.revision} by {conflict.author} "
        f"(change {conflict.change_id}) is in the store; nothing was written",
        file=sys.stderr,
    )
    return ExitCode.CONFLICT


async def _wait(values: Any, revision: int, config: SiteConfig, key: str) -> int:
    urls = host_urls(config, values.hosts)
    if not urls:
        raise CommandError(ExitCode.USAGE, "no host has a port for callers", step="apply")
    rounds = max(1, int(values.wait_s / POLL_INTERVAL_S))
    rollout = await wait_for_revision(
        urls, revision=revision, key=key, rounds=rounds, on_progress=_show_progress
    )
    return report_rollout(rollout, revision)


def host_urls(config: SiteConfig, given: list[str]) -> dict[str, str]:
    """Return base URLs by host, as given or else from the configuration."""
    if given:
        return {url.rstrip("/"): url.rstrip("/") for url in given if url}
    return {
        host.name: f"http://{_bracketed(host.address)}:{host.callers_port}"
        for host in config.hosts_by_name.values()
        if host.callers_port
    }


def report_rollout(rollout: RolloutStatus, revision: int) -> int:
    """Print on which hosts the revision is in force, and why not on the others."""
    total = len(rollout.in_force) + len(rollout.reason_by_host)
    print(f"revision {revision} is in force on {len(rollout.in_force)} of {total} hosts")
    if not rollout.reason_by_host:
        return ExitCode.DONE
    where = "; ".join(f"{host}: {reason}" for host, reason in rollout.reason_by_host.items())
    print(f"apply: not in force: {where}", file=sys.stderr)
    return ExitCode.UNREACHABLE


def _show_progress(done: int, total: int) -> None:
    if sys.stderr.isatty():
        end = "\n" if done == total else ""
        print(f"\rin force on {done} of {total} hosts", end=end, file=sys.stderr, flush=True)


def _bracketed(address: str) -> str:
    return f"[{address}]" if ":" in address else address


COMMANDS = (
    Command(
        name="apply",
        summary="put a configuration in force",
        arguments="FILE",
        counts=(1, 1),
        text="""
            Writes FILE (a generated document, or a questionnaire to generate it from) to the
            key-value service by compare-and-swap, prints what changes, and waits until the
            revision is in force on every host.

            If the answer of the service is lost, the value is read back: the document carries a
            random change id, so the command knows whether it was written. If another operator
            wrote first, nothing is written; the command names that operator and the difference and
            exits with 5. If the revision is written but not in force on some host within --wait_s,
            the command names the hosts and exits with 6; the rollout continues.""",
        define=_define,
        run=_run,
    ),
)
