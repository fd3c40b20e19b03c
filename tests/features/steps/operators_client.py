"""Step definitions for broken answers at the operators' command line."""

import functools
import json
import pathlib

import behave
import trio

from tests.harness import processes
from tests.standins import broken_answers

OUTCOME = b'{"outcome": "done", "version": 7, "held": 7}'
COMMAND_SECONDS = 60.0  # a guard against hangs, not a measure


async def _run_command(serve, *words):
    """Run `camphorhook` with a server; return the trio process that ended.

    Args:
        serve: async function of a stream that serves a connection.
        *words: the command and its arguments.
    """
    async with trio.open_nursery() as nursery:
        opened = await nursery.start(
            functools.partial(trio.serve_tcp, host="127.0.0.1"), serve, 0
        )
        port = opened[0].socket.getsockname()[1]
        command = processes.run_program(
            "camphorhook", "--server", f"127.0.0.1:{port}", *words
        )
        with trio.fail_after(COMMAND_SECONDS):
            done = await trio.run_process(
                command, check=False, capture_stdout=True, capture_stderr=True
            )
        nursery.cancel_scope.cancel()
    return done


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


@behave.when("an operator imports a document of 3 MB")
def import_document(context):
    path = pathlib.Path(context.folder) / "large.json"
    filler = "f" * broken_answers.UPLOAD_BYTES
    path.write_text(json.dumps({"Version": 7, "Filler": filler}))
    context.done = trio.run(
        _run_command, context.serve, "import-document", str(path)
    )


@behave.then("the command ends with exit code {code:d}")
def check_code(context, code):
    output = context.done.stdout + context.done.stderr
    assert context.done.returncode == code, output
