"""Runs the daemon of an earlier commit, from that commit's sources."""

import io
import pathlib
import subprocess
import sys
import tarfile

BUILDS = pathlib.Path("run", "builds")
NEW = "new"
_SOURCES = ("packages/common/src", "packages/daemon/src")


def find_program(commit, module="camphorhook_daemon.main"):
    """Return the command line of a commit's daemon on the platform.

    Its sources are unpacked once, into a folder of BUILDS.

    Args:
        commit: any name of a commit of this clone; NEW for the installed
            daemon.
        module: what runs the daemon.

    Returns:
        The program of `platforms.Platform.start`; None for NEW.

    Raises:
        subprocess.CalledProcessError: the clone does not have the commit.
    """
    if commit == NEW:
        return None
    folder = (
        BUILDS / _run_git("rev-parse", commit).decode().strip()
    ).resolve()
    if not folder.exists():
        _unpack(commit, folder)
    path = ":".join(str(folder / one) for one in _SOURCES)
    command = [sys.executable, "-m", module, "--platform"]
    return ["env", f"PYTHONPATH={path}", *command]


def _unpack(commit, folder):
    partial = folder.with_name(folder.name + ".partial")
    archive = _run_git("archive", commit, *_SOURCES)
    with tarfile.open(fileobj=io.BytesIO(archive)) as files:
        files.extractall(partial, filter="data")
    partial.rename(folder)


def _run_git(*arguments):
    command = ["git", *arguments]
    return subprocess.run(command, check=True, capture_output=True).stdout
