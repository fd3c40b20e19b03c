"""Step definitions for broken answers at the operators' command line."""

import functools
import json
import pathlib
import subprocess

import behave
import trio

from tests.harness import crowds
from tests.harness import processes
from tests.standins import broken_answers

OUTCOME = b'{"outcome": "done", "version": 7, "held": 7}'
COMMAND_SECONDS = 60.0  # a guard against hangs, not a measure
POLL_SECONDS = 0.01
BYTES_PER_MB = 1_000_000
MOST_WATCHED_BYTES = 400 * BYTES_PER_MB  # the command is killed beyond


class Outcome:
    """How a command ended.

    Attributes:
        code: its exit code.
        output: what it wrote.
        peak: peak of its resident memory in bytes.
    """

    def __init__(self):
        self.code = None
        self.output = b""
        self.peak = 0

    async def run(self, command):
        """Run a command until it ends, or takes too much memory."""
        process = await trio.lowlevel.open_process(
            command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_output, process.stdout)
            while process.poll() is None:
                self._measure(process)
                await trio.sleep(POLL_SECONDS)
        self.code = process.returncode

    async def _read_output(self, stream):
        async for data in stream:
            self.output += data

    def _measure(self, process):
        try:
            peak = crowds.read_peak_bytes(process.pid)
        except (KeyError, FileNotFoundError):
            return  # the process is just ending
        self.peak = max(self.peak, peak)
        if self.peak > MOST_WATCHED_BYTES:
            process.kill()


async def _run_command(serve, *words):
    """Run `camphorhook` with a server; return the Outcome.

    Args:
        serve: async function of a stream that serves a connection.
        *words: the command and its arguments.
    """
    outcome = Outcome()
    async with trio.open_nursery() as nursery:
        opened = await nursery.start(
            functools.partial(trio.serve_tcp, host="127.0.0.1"), serve, 0
        )
        port = opened[0].socket.getsockname()[1]
        command = processes.run_program(
            "camphorhook", "--server", f"127.0.0.1:{port}", *words
        )
        with trio.fail_after(COMMAND_SECONDS):
            await outcome.run(command)
        nursery.cancel_scope.cancel()
    return outcome


@behave.given(
    "a control port that answers uploads with {framing} and ends with {ending}"
)
def set_early_answer(context, framing, ending):
    async def serve(stream):
        async with stream:
            await broken_answers.read_head(stream)
            data = broken_answers.make_answer(framing, OUTCOME)
            await broken_answers.answer_early(stream, data, ending)

    context.serve = serve


@behave.given("a control port that answers with {what}, without end")
def set_endless_answer(context, what):
    async def serve(stream):
        async with stream:
            await broken_answers.read_head(stream)
            await broken_answers.send_without_end(stream, what)

    context.serve = serve


@behave.when("an operator imports a document of 3 MB")
def import_document(context):
    path = pathlib.Path(context.folder) / "large.json"
    filler = "f" * broken_answers.UPLOAD_BYTES
    path.write_text(json.dumps({"Version": 7, "Filler": filler}))
    context.outcome = trio.run(
        _run_command, context.serve, "import-document", str(path)
    )


@behave.when("an operator asks for the status")
def read_status(context):
    context.outcome = trio.run(_run_command, context.serve, "status")


@behave.then("the command ends with exit code {code:d}")
def check_code(context, code):
    assert context.outcome.code == code, vars(context.outcome)


@behave.then(
    "the command ends with exit code {code:d} and used at most "
    "{megabytes:d} MB"
)
def check_memory(context, code, megabytes):
    outcome = context.outcome
    print(f"peak {outcome.peak / BYTES_PER_MB:.1f} MB")
    assert outcome.peak <= megabytes * BYTES_PER_MB, outcome.peak
    assert outcome.code == code, vars(outcome)
