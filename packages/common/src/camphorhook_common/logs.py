"""Logging of JSON lines through absl.logging."""

import contextlib
import json
import logging
import os
import time

from absl import logging as absl_logging
import msgspec

LINES_PER_SECOND = 400  # four lines per request at five times the usual load
BURST_LINES = 800  # two seconds at that rate
FIELDS = ("request", "operation", "step", "peer", "account", "inputs")


class JsonFormatter(logging.Formatter):
    """Formats a log record as a JSON object on one line."""

    def __init__(self, instance):
        super().__init__()
        self._instance = instance
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._second = None
        self._second_text = ""

    def _format_time(self, seconds):
        """Return a time in ISO 8601, in UTC.

        The text of the last second is cached, as most lines share it.

        Args:
            seconds: seconds since the epoch.
        """
        second = int(seconds)
        if second != self._second:
            self._second = second
            self._second_text = time.strftime(
                "%Y-%m-%dT%H:%M:%S", time.gmtime(second)
            )
        milliseconds = int((seconds - second) * 1000)
        return f"{self._second_text}.{milliseconds:03d}+00:00"

    def format(self, record):
        """Return a record as JSON text."""
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


class NonBlockingStream:
    """Writes lines without ever blocking on their reader.

    Lines above a rate limit, and lines for which the reader has no room, are
    dropped and counted; a later line reports their number.

    Attributes:
        dropped: lines dropped since the last report.
    """

    def __init__(self, stream, now=time.monotonic):
        """Create the stream.

        Args:
            stream: file with a descriptor, which becomes non-blocking.
            now: function that returns seconds on a monotonic clock.
        """
        self._descriptor = stream.fileno()
        os.set_blocking(self._descriptor, False)
        self._now = now
        self._tokens = float(BURST_LINES)
        self._refilled_at = now()
        self._pending = b""
        self.dropped = 0

    def admit(self):
        """Return whether a line may be written; count it as dropped if not."""
        if self._take_token() and self._flush_pending():
            return True
        self.dropped += 1
        return False

    def write(self, text):
        """Write a line; `admit` must have returned True for it."""
        data = text.rstrip("\n").encode() + b"\n"
        if self.dropped:
            report = {"level": "warning", "message": "log lines were dropped"}
            report["inputs"] = {"count": self.dropped}
            data = json.dumps(report).encode() + b"\n" + data
            self.dropped = 0
        self._pending = data
        self._flush_pending()

    def _take_token(self):
        now = self._now()
        refill = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _flush_pending(self):
        """Write the rest of the last line; return whether all was written."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return False
            except OSError:
                # The reader has closed its end, so nothing can be reported.
                self._pending = b""
                return False
            self._pending = self._pending[written:]
        return True


class NonBlockingHandler(logging.Handler):
    """Formats and writes only records that a NonBlockingStream admits."""

    def __init__(self, stream):
        super().__init__()
        self._stream = stream

    def emit(self, record):
        """Write a record or drop it."""
        if not self._stream.admit():
            return
        try:
            self._stream.write(self.format(record))
        except Exception:
            self.handleError(record)


def configure(instance, level="info", stream=None):
    """Configure logging to write JSON lines to a stream.

    Args:
        instance: name of the instance, written in each line.
        level: minimum level: debug, info, warning or error.
        stream: NonBlockingStream to write to; None for standard error.
    """
    # Looking up the source file, thread and process of a record takes half
    # the time of a line, and lines name none of them.
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    handler = NonBlockingHandler(stream) if stream else logging.StreamHandler()
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
    """Write a log line.

    Args:
        level: debug, info, warning or error.
        message: text of the line.
        with_trace: whether to add the traceback of the exception that is
            being handled.
        **fields: values for any of FIELDS; empty ones are left out.
    """
    logger = absl_logging.get_absl_logger()
    number = logging.getLevelName(level.upper())
    logger.log(number, message, exc_info=with_trace, extra=fields)


@contextlib.contextmanager
def log_unexpected_errors(step):
    """Log any error of the block with its trace, and go on after the block.

    For tasks on whose failure the process would end, where what they failed
    to do can be left undone.

    Args:
        step: the step of the block, for the log line.
    """
    try:
        yield
    except Exception as error:
        log(
            "error", f"unexpected error: {error!r}", with_trace=True, step=step
        )
