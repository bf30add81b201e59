"""Tests of the operators' command ``eelgrassyard-platform``."""

from __future__ import annotations

from pathlib import Path

import pytest

from eelgrassyard.platform._tool import EXIT_DONE, EXIT_FAILED, EXIT_USAGE, main
from platform_standin import config
from test_platform_documents import SETTINGS

ROOT = Path(__file__).parents[1]


def test_the_deploy_file_of_the_repository_is_valid(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a deploy file that the platform would reject."""
    assert main(["tool", "check", str(ROOT / "deploy" / "system.toml")]) == EXIT_DONE
    assert "valid" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ('build = "true"\n[roles]\n', "at least one role"),
        ('build = "true"\n[roles.a]\non = "front"\nserves = ["front"]\n', "roles.a.run"),
        ('[roles.a]\nrun = "x"\non = "front"\nserves = ["front"]\n', "build"),
        ('build = "true"\n[roles.a]\nrun = "x"\non = "front"\nshare = 2.0\n', "share"),
        ('node = "x"', "zone"),
        ("not toml", "Expected"),
    ],
)
def test_unusable_files_are_refused(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, reason: str
) -> None:
    """Guards against a check that accepts a file with which a host would not start."""
    path = tmp_path / "file.toml"
    path.write_text(text)
    assert main(["tool", "check", str(path)]) == EXIT_FAILED
    assert reason in capsys.readouterr().out


def test_settings_are_checked(tmp_path: Path) -> None:
    """Guards against a check that rejects settings that a host accepts."""
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS)
    assert main(["tool", "check", str(path)]) == EXIT_DONE


def test_a_configuration_is_explained(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against wrong values or units in the printed routes."""
    path = tmp_path / "config.json"
    path.write_bytes(config())
    assert main(["tool", "explain", str(path)]) == EXIT_DONE
    shown = capsys.readouterr().out
    assert "version 7" in shown
    assert "nony24.example/lohu930/ runs on svc (guarded)" in shown
    assert "0.06 s" in shown


def test_bad_usage_is_one_line(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a traceback for an unknown subcommand."""
    assert main(["tool", "dance", "x"]) == EXIT_USAGE
    assert capsys.readouterr().err.count("\n") == 1


def test_an_unreachable_host_is_an_error(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against success for a host that does not answer."""
    assert main(["tool", "state", "127.0.0.1:1"]) == EXIT_FAILED
    assert "127.0.0.1:1" in capsys.readouterr().err
