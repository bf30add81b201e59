"""Tests of the deploy file's build command, run in a scratch checkout with a package of its own."""

from __future__ import annotations

import os
import pathlib
import shutil
import subprocess
import sys
import sysconfig
import tomllib
import zipfile

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST_MODULE = "from leaf import _core\n"


def write_wheel(path: pathlib.Path) -> None:
    """Write a wheel with the package ``leaf``, whose module ``_core`` stands for a compiled one."""
    files = {
        "leaf/__init__.py": "from . import _core\n",
        "leaf/_core.py": "",
        "leaf-1.dist-info/METADATA": "Metadata-Version: 2.1\nName: leaf\nVersion: 1\n",
        "leaf-1.dist-info/WHEEL": "Wheel-Version: 1.0\nRoot-Is-Purelib: true\nTag: py3-none-any\n",
    }
    record = "leaf-1.dist-info/RECORD"
    files[record] = "".join(f"{name},,\n" for name in [*files, record])
    with zipfile.ZipFile(path, "w") as wheel:
        for name, text in files.items():
            wheel.writestr(name, text)


class Checkout:
    """A scratch checkout with the build command of this repository."""

    def __init__(self, *, root: pathlib.Path) -> None:
        self.root = root
        self.deps = root / "target" / "deps"
        self.wheel = root / "leaf-1-py3-none-any.whl"
        self.requirements = root / "deploy" / "requirements.txt"
        shutil.copytree(ROOT / "deploy", root / "deploy")
        package = root / "src" / "eelgrassyard" / "platform"
        package.mkdir(parents=True)
        for folder in (package.parent, package):
            (folder / "__init__.py").touch()
        (package / "__main__.py").write_text(HOST_MODULE)
        write_wheel(self.wheel)
        self.requirements.write_text(f"{self.wheel}\n")

    def carry_over(self) -> None:
        """Put a complete folder into place, as an earlier build left it, with a later time."""
        with zipfile.ZipFile(self.wheel) as wheel:
            wheel.extractall(self.deps)
        shutil.copyfile(self.requirements, self.deps / "installed-requirements.txt")

    def date_later(self) -> None:
        """Give the folder a later time than the requirements."""
        later = self.requirements.stat().st_mtime + 60.0
        os.utime(self.deps, (later, later))

    def start(self) -> subprocess.Popen[str]:
        """Start the build as the platform does: in a shell at the root of the repository."""
        text = (self.root / "deploy" / "system.toml").read_text()
        command = tomllib.loads(text)["build"]
        path = f"{pathlib.Path(sys.executable).parent}:/usr/bin:/bin"
        return subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=self.root,
            env={"PATH": path},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

    def build(self) -> int:
        """Build; return the exit code."""
        process = self.start()
        process.communicate()
        return process.returncode

    def host_imports(self) -> bool:
        """Tell whether the host's imports succeed with what was built."""
        command = [
            sys.executable,
            "-I",
            "-S",
            "-c",
            "import sys; sys.path.insert(0, sys.argv[1])\n",
        ]
        command[-1] += HOST_MODULE
        return subprocess.run([*command, str(self.deps)], check=False).returncode == 0


@pytest.fixture(name="checkout")
def _checkout(tmp_path: pathlib.Path) -> Checkout:
    return Checkout(root=tmp_path)


def test_a_clean_checkout_is_built_once(checkout: Checkout) -> None:
    """Guards against a build that fails in a clean checkout, or that installs again each time."""
    assert checkout.build() == 0
    assert checkout.host_imports()
    checkout.wheel.unlink()
    assert checkout.build() == 0
    assert {path.name for path in checkout.root.iterdir()} == {"deploy", "src", "target"}


@pytest.mark.parametrize(
    "suffix", [sysconfig.get_config_var("EXT_SUFFIX"), ".cpython-39-m68k-linux-gnu.so"]
)
def test_compiled_modules_of_another_machine_are_replaced(checkout: Checkout, suffix: str) -> None:
    """Guards against hosts that don't start since target/deps was carried over from another kind of
    machine or another Python."""
    checkout.carry_over()
    assert checkout.host_imports()
    (checkout.deps / "leaf" / "_core.py").unlink()
    shutil.rmtree(checkout.deps / "leaf" / "__pycache__")
    (checkout.deps / "leaf" / f"_core{suffix}").touch()
    checkout.date_later()
    assert not checkout.host_imports()
    assert checkout.build() == 0
    assert checkout.host_imports()


def test_an_interrupted_build_is_completed(checkout: Checkout) -> None:
    """Guards against a build that takes the folder of an interrupted one for complete."""
    for folder in ("deps", "deps.new", "deps.old"):
        (checkout.root / "target" / folder / "leaf").mkdir(parents=True)
    checkout.date_later()
    assert checkout.build() == 0
    assert checkout.host_imports()


def test_changed_requirements_are_installed(checkout: Checkout) -> None:
    """Guards against dependencies of an older version whose folder has a later time."""
    checkout.carry_over()
    other = checkout.root / "other" / checkout.wheel.name
    other.parent.mkdir()
    write_wheel(other)
    with zipfile.ZipFile(other, "a") as wheel:
        wheel.writestr("leaf/added.py", "")
    checkout.requirements.write_text(f"{other}\n")
    checkout.date_later()
    assert checkout.build() == 0
    assert (checkout.deps / "leaf" / "added.py").is_file()


def test_a_failed_build_keeps_the_folder(checkout: Checkout) -> None:
    """Guards against a failed installation that leaves hosts without dependencies, or that is
    reported as a success."""
    checkout.carry_over()
    checkout.requirements.write_text(f"{checkout.root / 'missing-1-py3-none-any.whl'}\n")
    assert checkout.build() != 0
    assert checkout.host_imports()


def test_two_builds_at_the_same_time_succeed(checkout: Checkout) -> None:
    """Guards against builds that remove each other's files."""
    builds = [checkout.start(), checkout.start()]
    assert [(build.communicate()[0], build.returncode)[1] for build in builds] == [0, 0]
    assert checkout.host_imports()


def test_a_complete_folder_of_an_earlier_release_is_kept(checkout: Checkout) -> None:
    """Guards against a build that needs the registry though nothing is missing."""
    checkout.carry_over()
    (checkout.deps / "installed-requirements.txt").unlink()
    checkout.requirements.write_text("leaf==1\n")
    assert checkout.build() == 0
    checkout.requirements.write_text("--no-index\nleaf==2\n")
    assert checkout.build() != 0
    assert checkout.host_imports()
