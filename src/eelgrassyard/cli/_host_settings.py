"""Generates the settings file of a host from the questionnaire, so that the two agree."""

from __future__ import annotations

import json
import re
import secrets
from typing import Any

from absl import flags

from ..config import CONFIG_KEY
from ..policy import SiteConfig
from ._errors import CommandError, ExitCode
from ._flags import check_url
from ._input import read_input

ID_KEY_BYTES = 32
ID_KEY = re.compile(r"[0-9a-f]{64}")


def new_id_key() -> str:
    """Generate the secret with which the hosts of a site sign ids."""
    return secrets.token_hex(ID_KEY_BYTES)


def define_host_settings(values: flags.FlagValues) -> None:
    """Define the flags for settings that are not in the questionnaire."""
    flags.DEFINE_string(
        "host", "", "Write the settings file of this host instead.", flag_values=values
    )
    flags.DEFINE_string(
        "id_key_file", "", "With --host: file made by key new --id_key.", flag_values=values
    )
    flags.DEFINE_string(
        "store", "", "With --host: base URL of the key-value service.", flag_values=values
    )
    flags.DEFINE_string(
        "host_list", "", "With --host: base URL of the host list.", flag_values=values
    )
    flags.DEFINE_string(
        "statsd", "", "With --host: IP:PORT that metrics are sent to.", flag_values=values
    )


def host_settings(config: SiteConfig, values: Any) -> bytes:
    """Return the content of the settings file for the host given by ``--host``.

    :raises CommandError: if the host is not in the questionnaire or a flag is missing or wrong.
    """
    host = config.hosts_by_name.get(values.host)
    if host is None:
        allowed = ", ".join(config.hosts_by_name)
        raise _usage_error(f"--host: {values.host!r} is not one of {allowed}")
    for flag in ("store", "host_list", "id_key_file"):
        if not getattr(values, flag):
            raise _usage_error(f"--host needs --{flag}")
    check_url(values.store, "store")
    check_url(values.host_list, "host_list")
    id_key = read_input(values.id_key_file).decode("utf-8", "replace").strip()
    if not ID_KEY.fullmatch(id_key):
        raise _usage_error(
            f"--id_key_file: {values.id_key_file} does not hold 64 hexadecimal digits"
        )
    settings: dict[str, Any] = {
        "name": host.name,
        "failure_domain": host.failure_domain,
        "region": host.region,
        "weight": host.weight,
        "id_key": id_key,
        "http": {"address": host.address, "port": host.callers_port},
        "peer": {"address": host.address, "port": host.port},
        "store": {"url": values.store, "key": CONFIG_KEY},
        "host_list": {"url": values.host_list},
    }
    if values.statsd:
        settings["statsd"] = _statsd(values.statsd)
    return (json.dumps(settings, indent=2) + "\n").encode()


def _statsd(text: str) -> dict[str, Any]:
    address, _, port = text.rpartition(":")
    if not address or not port.isdigit():
        raise _usage_error(f"--statsd: {text!r} is not IP:PORT")
    return {"address": address.strip("[]"), "port": int(port)}


def _usage_error(message: str) -> CommandError:
    return CommandError(ExitCode.USAGE, message, step="generate")
