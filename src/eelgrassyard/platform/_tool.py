"""Command ``eelgrassyard-platform``: checks files, prints host state, explains configurations and
placement."""

from __future__ import annotations

import http.client
import json
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

from absl import flags

from ._documents import decode_config
from ._settings import load_toml, read_settings
from ._where import where

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

USAGE = (
    "eelgrassyard-platform check FILE... | state READY_ADDRESS | explain FILE"
    " | where READY_ADDRESS JOB_FILE [--kind=NAME]"
)

STATE_TIMEOUT_S = 5.0
"""Timeout of the request for a host's state."""


def check(paths: Sequence[str]) -> int:
    """Check settings and deploy files; print a line for each error, or that the file is valid."""
    failed = False
    for path in paths:
        problems = _check_file(path)
        failed = failed or bool(problems)
        for problem in problems or ["valid"]:
            print(f"{path}: {problem}")
    return EXIT_FAILED if failed else EXIT_DONE


def _check_file(path: str) -> list[str]:
    loaded = load_toml(path)
    if loaded.is_err():
        return [loaded.unwrap_err()]
    raw = loaded.unwrap()
    if "roles" in raw:
        return _check_deploy_file(raw)
    result = read_settings(path)
    return [str(result.unwrap_err())] if result.is_err() else []


def _check_deploy_file(raw: dict[str, object]) -> list[str]:
    problems = []
    if not isinstance(raw.get("build"), str):
        problems.append("build: must be a shell command")
    roles = raw["roles"]
    if not isinstance(roles, dict) or not roles:
        return [*problems, "roles: at least one role is required"]
    served: list[object] = []
    for name, role in roles.items():
        if not isinstance(role, dict):
            problems.append(f"roles.{name}: must be a table")
            continue
        for key in ("run", "on"):
            if not isinstance(role.get(key), str):
                problems.append(f"roles.{name}.{key}: must be a string")
        share = role.get("share", 1.0)
        if not isinstance(share, int | float) or not 0.0 < share <= 1.0:
            problems.append(f"roles.{name}.share: {share!r} is not above 0 and at most 1")
        serves = role.get("serves", [])
        if isinstance(serves, list):
            served += serves
        else:
            problems.append(f"roles.{name}.serves: must be a list")
    if "front" not in served:
        problems.append("roles: no role serves front")
    return problems


def state(addresses: Sequence[str]) -> int:
    """Print the state of hosts, requested at their ready addresses."""
    for address in addresses:
        connection = http.client.HTTPConnection(address, timeout=STATE_TIMEOUT_S)
        try:
            connection.request("GET", "/state")
            answer = connection.getresponse()
            print(json.dumps(json.loads(answer.read()), indent=2))
        except (OSError, http.client.HTTPException, ValueError) as error:
            print(f"{address}: state: {error}", file=sys.stderr)
            return EXIT_FAILED
        finally:
            connection.close()
    return EXIT_DONE


def explain(paths: Sequence[str]) -> int:
    """Print the routes of configuration documents as the host reads them."""
    for path in paths:
        try:
            document = Path(path).read_bytes()
        except OSError as error:
            print(f"{path}: {error}", file=sys.stderr)
            return EXIT_FAILED
        result = decode_config(document)
        if result.is_err():
            print(f"{path}: {result.unwrap_err()}", file=sys.stderr)
            return EXIT_FAILED
        routes = result.unwrap()
        print(f"version {routes.version}, bodies up to {routes.body_bytes} bytes")
        for kind in routes.kinds:
            guarded = "guarded" if kind.service in routes.capacity_checked_services else "unguarded"
            print(
                f"{kind.name}: {kind.host}{kind.prefix} runs on {kind.service} ({guarded}), "
                f"priority {kind.priority}, {kind.max_attempts} attempts, on time within "
                f"{kind.stretch} times the work and {kind.target_s} s, "
                f"callers wait {kind.timeout_s} s unless their request says otherwise"
            )
    return EXIT_DONE


COMMANDS: dict[str, Callable[[Sequence[str]], int]] = {
    "check": check,
    "state": state,
    "explain": explain,
}


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command; return 0 on success, 1 on failure and 2 on wrong usage."""
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_string("kind", "", "Kind of the job of the command where.", flag_values=values)
    argv = list(arguments if arguments is not None else sys.argv)
    try:
        _, *words = values(argv)
    except flags.Error as error:
        print(f"eelgrassyard-platform: {error}; usage: {USAGE}", file=sys.stderr)
        return EXIT_USAGE
    if len(words) == 3 and words[0] == "where":
        done = where(words[1], words[2], kind=str(values["kind"].value))
        return EXIT_DONE if done else EXIT_FAILED
    if len(words) < 2 or words[0] not in COMMANDS or values["kind"].present:
        print(f"usage: {USAGE}", file=sys.stderr)
        return EXIT_USAGE
    return COMMANDS[words[0]](words[1:])
