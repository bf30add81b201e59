"""Flags that several commands share."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import httpx
from absl import flags

from ..config import CONFIG_KEY
from ._errors import CommandError, ExitCode

HOSTS_VARIABLE = "EELGRASSYARD_HOSTS"
KEY_VARIABLE = "EELGRASSYARD_KEY"
STORE_VARIABLE = "EELGRASSYARD_STORE"
HTTP_PORT = 80
HIGHEST_PORT = 65_535


def define_hosts(values: flags.FlagValues) -> None:
    """Define ``--hosts``."""
    flags.DEFINE_list(
        "hosts",
        os.environ.get(HOSTS_VARIABLE, ""),
        "Base URLs of entry hosts or of the load balancer, separated by commas, such as "
        f"http://127.0.0.1:7201. Environment: {HOSTS_VARIABLE}.",
        flag_values=values,
    )


def define_key(values: flags.FlagValues) -> None:
    """Define ``--key_file``."""
    flags.DEFINE_string(
        "key_file",
        "",
        f"File with the key of the caller or operator. Environment, for the key itself: "
        f"{KEY_VARIABLE}.",
        flag_values=values,
    )


def define_store(values: flags.FlagValues) -> None:
    """Define ``--store`` and ``--config_key``."""
    flags.DEFINE_string(
        "store",
        os.environ.get(STORE_VARIABLE, ""),
        f"Base URL of the key-value service. Environment: {STORE_VARIABLE}.",
        flag_values=values,
    )
    flags.DEFINE_string("config_key", CONFIG_KEY, "Key of the document.", flag_values=values)


def define_json(values: flags.FlagValues) -> None:
    """Define ``--json``."""
    flags.DEFINE_bool("json", False, "Print JSON instead of text.", flag_values=values)


def read_hosts(values: Any) -> list[str]:
    """Return the base URLs of ``--hosts``.

    :raises CommandError: if there is none or one is malformed.
    """
    urls = [url.strip().rstrip("/") for url in values.hosts if url.strip()]
    if not urls:
        raise CommandError(ExitCode.USAGE, f"give --hosts or set {HOSTS_VARIABLE}", step="flags")
    for url in urls:
        check_url(url, "hosts")
    return urls


def check_url(url: str, flag: str) -> None:
    """Check that a flag holds an HTTP URL.

    :raises CommandError: if it does not.
    """
    problem = "is not http://IP:PORT"
    try:
        parsed = httpx.URL(url)
        is_valid = parsed.scheme in ("http", "https") and bool(parsed.host)
        is_valid &= 0 < (parsed.port or HTTP_PORT) <= HIGHEST_PORT
    except (httpx.InvalidURL, ValueError) as error:
        is_valid, problem = False, str(error)
    if not is_valid:
        raise CommandError(ExitCode.USAGE, f"--{flag}: {url!r}: {problem}", step="flags")


def read_key(values: Any, *, required: bool = True) -> str:
    """Return the key from ``--key_file`` or else from the environment.

    :raises CommandError: if the file is unreadable, or the key is malformed or missing.
    """
    key = os.environ.get(KEY_VARIABLE, "")
    if values.key_file:
        try:
            key = Path(values.key_file).read_text(encoding="utf-8").strip()
        except (OSError, ValueError) as error:
            raise CommandError(
                ExitCode.USAGE, f"--key_file: {values.key_file}: {error}", step="flags"
            ) from error
    if required and not key:
        raise CommandError(ExitCode.USAGE, f"give --key_file or set {KEY_VARIABLE}", step="flags")
    if not key.isascii() or not key.isprintable():
        raise CommandError(ExitCode.USAGE, "the key is not plain text", step="flags")
    return key
