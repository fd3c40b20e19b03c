"""Logs as JSON lines through absl.logging."""

import json
import logging
import os
import time

from absl import logging as absl_logging
import msgspec

LINES_PER_SECOND = 400  # four lines a request at five times the usual load
BURST_LINES = 800  # two seconds of it
FIELDS = ("request", "operation", "step", "peer", "account", "inputs")


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object on one line."""

    def __init__(self, instance):
        super().__init__()
        self._instance = instance
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._second = None
        self._second_text = ""

    def _format_time(self, seconds):
        """Return a time of day in UTC; most lines share their second."""
        second = int(seconds)
        if second != self._second:
            self._second = second
            self._second_text = time.strftime(
                "%Y-%m-%dT%H:%M:%S", time.gmtime(second)
            )
        milliseconds = int((seconds - second) * 1000)
        return f"{self._second_text}.{milliseconds:03d}+00:00"

    def format(self, record):
        """Return the record as JSON text."""
        line = {
            "time": self._format_time(record.created),
            "level": record.levelname.lower(),
            "instance": self._instance,
            "message": record.getMessage(),
        }
        for field in FIELDS:
            value = getattr(record, field, None)
            if value:
                line[field] = value
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return self._encoder.encode(line).decode()


class BoundedStream:
    """Writes lines without ever waiting for their reader.

    Lines beyond a rate, and those that the reader has no room for, are
    dropped and counted; a later line tells how many.
    """

    def __init__(self, stream, now=time.monotonic):
        """Take over a stream's descriptor.

        Args:
            stream: a file with a descriptor; it is made non-blocking.
            now: returns seconds.
        """
        self._descriptor = stream.fileno()
        os.set_blocking(self._descriptor, False)
        self._now = now
        self._allowed = float(BURST_LINES)
        self._counted_at = now()
        self._rest = b""
        self.dropped = 0

    def admit(self):
        """Tell whether a line may be written now, and count it if not."""
        if self._take_allowance() and self._flush_rest():
            return True
        self.dropped += 1
        return False

    def write(self, text):
        """Write a line that was admitted."""
        data = text.rstrip("\n").encode() + b"\n"
        if self.dropped:
            told = {"level": "warning", "message": "log lines were dropped"}
            told["inputs"] = {"count": self.dropped}
            data = json.dumps(told).encode() + b"\n" + data
            self.dropped = 0
        self._rest = data
        self._flush_rest()

    def _take_allowance(self):
        now = self._now()
        grown = (now - self._counted_at) * LINES_PER_SECOND
        self._allowed = min(BURST_LINES, self._allowed + grown)
        self._counted_at = now
        if self._allowed < 1:
            return False
        self._allowed -= 1
        return True

    def _flush_rest(self):
        """Write what is left of the last line; return whether all went."""
        while self._rest:
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return False
            except OSError:
                # The reader has gone; there is nobody to tell.
                self._rest = b""
                return False
            self._rest = self._rest[written:]
        return True


class BoundedHandler(logging.Handler):
    """Formats only the lines that a BoundedStream admits."""

    def __init__(self, stream):
        super().__init__()
        self._stream = stream

    def emit(self, record):
        """Write a record, or drop it."""
        if not self._stream.admit():
            return
        try:
            self._stream.write(self.format(record))
        except Exception:
            self.handleError(record)


def configure(instance, level="info", stream=None):
    """Send the program's logs to a stream as JSON lines.

    Args:
        instance: the name put in each line.
        level: debug, info, warning or error.
        stream: a BoundedStream; standard error by default.
    """
    # Lines name neither source file, thread nor process; looking these up
    # costs half of a line.
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    handler = BoundedHandler(stream) if stream else logging.StreamHandler()
    handler.setFormatter(JsonFormatter(instance))
    root = logging.getLogger()
    root.handlers = [handler]
    absl_logging.get_absl_logger().propagate = True
    absl_logging.get_absl_logger().handlers = []
    root.setLevel(level.upper())
    absl_logging.get_absl_logger().setLevel(level.upper())
    for noisy in ("httpcore", "hypercorn", "asyncio"):
        logging.getLogger(noisy).setLevel("WARNING")


def log(level, message, *, with_trace=False, **fields):
    """Write a log line with fields.

    Args:
        level: debug, info, warning or error.
        message: the text.
        with_trace: add the trace of the exception being handled.
        **fields: any of FIELDS.
    """
    logger = absl_logging.get_absl_logger()
    number = logging.getLevelName(level.upper())
    logger.log(number, message, exc_info=with_trace, extra=fields)
