"""Commands of an operator: state, drain."""

from __future__ import annotations

import json
import sys
from typing import Any

import anyio
import httpx
from absl import flags

from ._client import Client
from ._command import Command
from ._errors import ExitCode
from ._flags import define_hosts, define_key, read_hosts, read_key

DRAIN_POLL_INTERVAL_S = 0.5


def _define_state(values: flags.FlagValues) -> None:
    define_hosts(values)
    define_key(values)
    flags.DEFINE_bool("compact", False, "Print one line for each host.", flag_values=values)


def _define_drain(values: flags.FlagValues) -> None:
    define_hosts(values)
    define_key(values)
    flags.DEFINE_float(
        "wait_s",
        60.0,
        "Seconds to wait until the host has stopped; 0 for not at all.",
        lower_bound=0,
        upper_bound=3600,
        flag_values=values,
    )


def _state(values: Any, arguments: list[str]) -> int:
    return anyio.run(_show_state, values, arguments[0] if arguments else "")


async def _show_state(values: Any, table: str) -> int:
    hosts = read_hosts(values)
    client = Client(hosts=hosts, key=read_key(values))
    dump_by_host: dict[str, Any] = {}
    code = ExitCode.DONE
    try:
        for host in hosts:
            try:
                response = await client.get_state(host, table)
            except httpx.HTTPError as error:
                _print_error("state", host, repr(error))
                code = ExitCode.UNREACHABLE
                continue
            if response.status_code != 200:
                _print_error("state", host, _reason(response))
                code = _exit_code(response)
                continue
            dump_by_host[host] = response.json()
    finally:
        await client.close()
    if values.compact:
        for host, dump in dump_by_host.items():
            print(json.dumps({"host": host, "state": dump}))
    else:
        print(json.dumps(dump_by_host, indent=2))
    return code


def _drain(values: Any, arguments: list[str]) -> int:
    return anyio.run(_drain_all, values)


async def _drain_all(values: Any) -> int:
    hosts = read_hosts(values)
    client = Client(hosts=hosts, key=read_key(values))
    code = ExitCode.DONE
    try:
        for host in hosts:
            try:
                response = await client.drain(host)
            except httpx.HTTPError as error:
                _print_error("drain", host, repr(error))
                code = ExitCode.UNREACHABLE
                continue
            if response.status_code not in (200, 202):
                _print_error("drain", host, _reason(response))
                code = _exit_code(response)
                continue
            print(f"{host}: draining")
            if values.wait_s > 0 and not await _wait_until_gone(client, host, values.wait_s):
                _print_error("drain", host, f"still answers after {values.wait_s:g} s")
                code = ExitCode.UNKNOWN
    finally:
        await client.close()
    return code


async def _wait_until_gone(client: Client, host: str, wait_s: float) -> bool:
    """Return whether the host stops answering within ``wait_s``, which ends a drain."""
    with anyio.move_on_after(wait_s):
        while True:
            try:
                await client.get_health(host)
            except httpx.HTTPError:
                print(f"{host}: ended")
                return True
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)
    return False


def _print_error(step: str, host: str, message: str) -> None:
    print(f"{step}: {host}: {message}", file=sys.stderr)


def _reason(response: httpx.Response) -> str:
    try:
        message = response.json()["error"]["message"]
    except (ValueError, KeyError, TypeError):
        message = ""
    return f"status {response.status_code}: {message}".rstrip(": ")


def _exit_code(response: httpx.Response) -> ExitCode:
    return ExitCode.USAGE if response.status_code < 500 else ExitCode.UNREACHABLE


COMMANDS = (
    Command(
        name="state",
        summary="print the state dump of hosts",
        arguments="[TABLE]",
        counts=(0, 1),
        text="""
            Prints the state of each host as JSON, or one table of it: membership, config, witness,
            quotas, scheduler, submissions, or what else the host lists. Needs an operator's
            key.""",
        define=_define_state,
        run=_state,
    ),
    Command(
        name="drain",
        summary="stop hosts as planned",
        text="""
            Drains the hosts in --hosts one after the other: each stops being ready, finishes the
            work in progress, hands over its records and exits. Waits until it no
            longer answers. Needs an operator's key.""",
        define=_define_drain,
        run=_drain,
    ),
)
