"""Real processes of a fleet: started, watched and ended by pid."""

import os
import pathlib
import signal
import subprocess
import sys
import time

START_SECONDS = 20.0
POLL_SECONDS = 0.05


class Process:
    """One process whose output goes to a file."""

    def __init__(self, name, arguments, log_path, variables=None):
        """Start a process.

        Args:
            name: name for messages.
            arguments: program and arguments.
            log_path: file that its output is appended to.
            variables: more environment variables.
        """
        self.name = name
        self.log_path = pathlib.Path(log_path)
        self._log = open(log_path, "ab")
        self._process = subprocess.Popen(
            arguments,
            stdout=self._log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            env={**os.environ, **(variables or {})},
            start_new_session=True,
        )

    @property
    def pid(self):
        """The process id."""
        return self._process.pid

    def is_running(self):
        """Tell whether the process has not ended."""
        return self._process.poll() is None

    def send(self, number):
        """Send a signal if the process still runs."""
        if self.is_running():
            os.kill(self._process.pid, number)

    def kill(self):
        """End the process at once and wait for it."""
        self.send(signal.SIGKILL)
        self._process.wait()
        self._log.close()

    def stop(self, seconds=30.0):
        """End the process gracefully; return its exit code."""
        self.send(signal.SIGTERM)
        code = self._process.wait(seconds)
        self._log.close()
        return code

    def read_log(self):
        """Return the output so far as text."""
        return self.log_path.read_text(errors="replace")


def run_module(module, *options):
    """Return arguments that run a module of this project."""
    return [sys.executable, "-m", module, *(str(one) for one in options)]


def run_program(name, *options):
    """Return arguments that run a console script of this project."""
    folder = pathlib.Path(sys.executable).parent
    return [str(folder / name), *(str(one) for one in options)]


def wait_until(check, seconds=START_SECONDS, what="condition"):
    """Poll until a check returns something true, and return it.

    Raises:
        TimeoutError: it did not within the time.
    """
    end = time.monotonic() + seconds
    while True:
        found = check()
        if found:
            return found
        if time.monotonic() > end:
            raise TimeoutError(f"{what} did not hold within {seconds:g} s")
        time.sleep(POLL_SECONDS)
