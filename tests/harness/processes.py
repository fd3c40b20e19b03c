"""Starts, monitors and terminates the processes of a test fleet."""

import os
import pathlib
import signal
import subprocess
import sys
import time

DEFAULT_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.05


class Process:
    """A child process whose output is appended to a log file."""

    def __init__(self, name, arguments, log_path, variables=None):
        """Start a process.

        Args:
            name: name that identifies the process in messages.
            arguments: program, followed by its arguments.
            log_path: file to which stdout and stderr are appended.
            variables: additional environment variables.
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
        """The process ID."""
        return self._process.pid

    def is_running(self):
        """Return whether the process has not exited."""
        return self._process.poll() is None

    def send_signal(self, signal_number):
        """Send a signal if the process is still running."""
        if self.is_running():
            os.kill(self._process.pid, signal_number)

    def kill(self):
        """Send SIGKILL and wait until the process has exited."""
        self.send_signal(signal.SIGKILL)
        self._process.wait()
        self._log.close()

    def stop(self, seconds=30.0):
        """Send SIGTERM, wait up to `seconds` and return the exit code."""
        self.send_signal(signal.SIGTERM)
        return self.wait_exit(seconds)

    def wait_exit(self, seconds):
        """Wait up to `seconds` for the exit, and return the exit code."""
        code = self._process.wait(seconds)
        self._log.close()
        return code

    def read_log(self):
        """Return the output written so far as text."""
        return self.log_path.read_text(errors="replace")


def run_module(module, *options):
    """Return the command line that runs a module of this project."""
    return [sys.executable, "-m", module, *(str(one) for one in options)]


def run_program(name, *options):
    """Return the command line that runs a console script of this project."""
    folder = pathlib.Path(sys.executable).parent
    return [str(folder / name), *(str(one) for one in options)]


def wait_until(check, seconds=DEFAULT_TIMEOUT_SECONDS, what="condition"):
    """Poll until a check returns a true value, and return that value.

    Args:
        check: function to poll.
        seconds: timeout in seconds.
        what: description of the condition for the error message.

    Raises:
        TimeoutError: the check returned no true value within the timeout.
    """
    end = time.monotonic() + seconds
    while True:
        found = check()
        if found:
            return found
        if time.monotonic() > end:
            raise TimeoutError(
                f"{what}: condition not met within {seconds:g} s"
            )
        time.sleep(POLL_INTERVAL_SECONDS)
