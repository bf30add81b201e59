"""Install the dependencies of a host into target/deps, unless a usable copy is there.

A copy is usable if it was installed from the present requirements and the host imports with it. A
folder that was carried over from another kind of machine or another Python is replaced, as is one
that is incomplete. Needs nothing but the standard library and pip.
"""

import fcntl
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
TARGET = ROOT / "target"
DEPENDENCIES = TARGET / "deps"
INSTALLED = "installed-requirements.txt"
"""Copy of the requirements in a folder that was installed from them."""

IMPORT_HOST = "import sys; sys.path[:0] = sys.argv[1:]; import eelgrassyard.platform.__main__"


def import_error(folder: pathlib.Path) -> str:
    """Return why the host does not import with the dependencies in a folder, or nothing."""
    # Without -I and -S, packages of the surrounding Python would hide missing ones.
    command = [sys.executable, "-I", "-S", "-B", "-c", IMPORT_HOST, str(ROOT / "src"), str(folder)]
    result = subprocess.run(command, capture_output=True, text=True, errors="replace", check=False)
    if result.returncode == 0:
        return ""
    lines = result.stderr.strip().splitlines()
    return lines[-1] if lines else f"the import ended with {result.returncode}"


def why_unusable() -> str:
    """Return why the present folder has to be replaced, or nothing."""
    installed = DEPENDENCIES / INSTALLED
    if installed.is_file():
        if installed.read_bytes() != REQUIREMENTS.read_bytes():
            return "installed from other requirements"
    elif not has_required_versions():
        return "not installed completely"
    return import_error(DEPENDENCIES)


def has_required_versions() -> bool:
    """Tell whether all requirements are there, also if an earlier release installed them, which
    kept no copy of them."""
    lines = REQUIREMENTS.read_text(encoding="utf-8").split()
    return all((DEPENDENCIES / f"{line.replace('==', '-')}.dist-info").is_dir() for line in lines)


def install() -> str:
    """Install into a new folder and put it into place if the host imports with it.

    :returns: why that failed, or nothing.
    """
    new, old = TARGET / "deps.new", TARGET / "deps.old"
    for folder in (new, old):
        # An interrupted build leaves them.
        shutil.rmtree(folder, ignore_errors=True)
    command = [sys.executable, "-m", "pip", "install", "-q", "--no-deps", "--target", str(new)]
    result = subprocess.run([*command, "-r", str(REQUIREMENTS)], cwd=ROOT, check=False)
    if result.returncode != 0:
        return f"pip ended with {result.returncode}"
    reason = import_error(new)
    if reason:
        return f"the host does not import with the new dependencies: {reason}"
    shutil.copyfile(REQUIREMENTS, new / INSTALLED)
    if DEPENDENCIES.exists():
        DEPENDENCIES.rename(old)
    new.rename(DEPENDENCIES)
    shutil.rmtree(old, ignore_errors=True)
    return ""


def main() -> int:
    """Build; return the exit code of the process."""
    TARGET.mkdir(exist_ok=True)
    with (TARGET / "build.lock").open("w") as lock:
        # Two builds at the same time would remove each other's folders.
        fcntl.flock(lock, fcntl.LOCK_EX)
        reason = why_unusable()
        if not reason:
            return 0
        print(f"build: target/deps: {reason}; installing")
        reason = install()
    if reason:
        print(f"build: target/deps: {reason}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
