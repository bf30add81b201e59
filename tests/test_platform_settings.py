"""Tests of odd settings and deploy files, as other programs or interrupted writes leave them."""

from __future__ import annotations

import math
import tempfile
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eelgrassyard.platform._settings import read_settings
from eelgrassyard.platform._tool import EXIT_FAILED, main
from test_platform_documents import SETTINGS

DEEP = "[" * 5000 + "]" * 5000
DIGITS = "9" * 5000


def write(tmp_path: Path, text: str) -> str:
    """Write a settings file; return its path."""
    path = tmp_path / "local.toml"
    path.write_text(text)
    return str(path)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (('unknown = "ignored"', f"unknown = {DEEP}"), "RecursionError"),
        (('unknown = "ignored"', f"unknown = {DIGITS}"), "digits"),
        (("10.1.0.13:8161", "10.1.0.13:\u00b2"), "front"),
        (("10.1.0.13:8161", "10.1.0.13:\u0663"), "front"),
        (("10.1.0.13:8161", "10.1.0.13:70000"), "front"),
        (("10.1.0.13:8161", "10.1.0.13:0"), "front"),
        (("10.1.0.13:8161", "10.1.0.13:+80"), "front"),
        (("10.1.0.13:8161", "10.1.0.999:80"), "front"),
        (("10.1.0.13:8161", "10.1.0.13\\u0000:80"), "front"),
        (("10.1.0.13:8161", "a" * 300 + ":80"), "front"),
        (("10.1.0.13:8167", "runner.example:80"), "ready"),
        (("10.200.1.7:8169", ":8169"), "platform"),
        (("grace_s = 6", "grace_s = nan"), "grace_s"),
        (("grace_s = 6", "grace_s = inf"), "grace_s"),
        (("grace_s = 6", "grace_s = -1"), "grace_s"),
        (("stop_ms = 50", "stop_ms = nan"), "stop_ms"),
        (("cpu_share = 0.5", "cpu_share = nan"), "cpu_share"),
        (("cpu_share = 0.5", "cpu_share = 0"), "cpu_share"),
        (("cpu_share = 0.5", f"cpu_share = {DIGITS[:400]}"), "cpu_share"),
        (("cores = 2", "cores = inf"), "cores"),
        (('node = "front-patan-1"', 'node = ""'), "node"),
        (('node = "front-patan-1"', 'node = "a\\u0000b"'), "node"),
        (('node = "front-patan-1"', f'node = "{"n" * 5000}"'), "node"),
        (('zone = "patan"', 'zone = ""'), "zone"),
    ],
)
def test_odd_values_are_refused_with_a_reason(
    tmp_path: Path, change: tuple[str, str], reason: str
) -> None:
    """Guards against an odd value that ends the process while it reads its settings, or with which
    it starts and fails later."""
    error = read_settings(write(tmp_path, SETTINGS.replace(*change))).unwrap_err()
    assert reason in error.reason
    assert len(error.reason) <= 300


@pytest.mark.parametrize(
    "change",
    [
        ("cores = 2", f'cores = 2\nmemory_mb = "x"\nmax_fds = 0.5\ndisk_mb = {DIGITS[:400]}'),
        ("cores = 2", "cores = 2\nlink_mbps = nan"),
        ("cores = 2", "cores = 2\nlink_mbps = -1"),
        ("grace_s = 6", "grace_s = 6.0\nrequire_fencing = false\nmove_s = 1979-05-27"),
        ('unknown = "ignored"', "role = 7\nserves = true\ninternal_port_range = 'x'"),
    ],
)
def test_odd_values_of_other_fields_are_ignored(tmp_path: Path, change: tuple[str, str]) -> None:
    """Guards against hosts that don't start since a field that they don't use was changed."""
    settings = read_settings(write(tmp_path, SETTINGS.replace(*change))).unwrap()
    assert settings.weight == 1.0
    assert settings.grace_s == 6.0
    assert settings.link_bytes_per_s == math.inf


@pytest.mark.parametrize(
    "seeds",
    [
        "7",
        '""',
        "{}",
        '["", "x", "1.2.3.4:99999", "a\\u0000b:80", "1.2.3.4:\u00b2", "seed.example:80", 7, []]',
    ],
)
def test_odd_seeds_are_dropped(tmp_path: Path, seeds: str) -> None:
    """Guards against a host that doesn't start, or looks up names, due to a seed."""
    text = SETTINGS.replace('["10.1.0.13:8166", "broken"]', seeds)
    assert read_settings(write(tmp_path, text)).unwrap().seeds == ()


@pytest.mark.parametrize("length", range(0, len(SETTINGS) - 1, 7))
def test_a_half_written_file_is_refused_or_read(tmp_path: Path, length: int) -> None:
    """Guards against an error while the platform writes the file."""
    read_settings(write(tmp_path, SETTINGS[:length]))


VALUES = st.recursive(
    st.one_of(
        st.integers(),
        st.floats(),
        st.booleans(),
        st.sampled_from(['"x"', '"1.2.3.4:\u00b2"', '""', "nan", DIGITS, "1979-05-27", DEEP]),
    ).map(lambda value: str(value).lower() if isinstance(value, bool) else str(value)),
    lambda inner: st.lists(inner, max_size=3).map(lambda items: "[" + ", ".join(items) + "]"),
    max_leaves=4,
)
LINES = [line for line in SETTINGS.splitlines() if "=" in line]


@given(line=st.sampled_from(LINES), value=VALUES)
def test_any_value_of_any_field_is_refused_or_read(line: str, value: str) -> None:
    """Guards against a kind of value that raises an error instead of being refused."""
    field = line.partition("=")[0]
    with tempfile.TemporaryDirectory() as folder:
        read_settings(write(Path(folder), SETTINGS.replace(line, f"{field}= {value}")))


@given(content=st.binary(max_size=200))
def test_any_bytes_are_refused(content: bytes) -> None:
    """Guards against content that raises an error instead of being refused."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "local.toml"
        path.write_bytes(content)
        assert read_settings(str(path)).is_err()


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        (f"roles = {DEEP}", "RecursionError"),
        ('build = "true"\n[roles]\na = 7\n', "roles.a: must be a table"),
        ('build = "true"\n[roles.a]\nrun = "x"\non = "front"\nserves = 7\n', "serves"),
    ],
)
def test_odd_deploy_files_are_refused(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, reason: str
) -> None:
    """Guards against a check of the deploy file that ends with a traceback."""
    assert main(["tool", "check", write(tmp_path, text)]) == EXIT_FAILED
    assert reason in capsys.readouterr().out
