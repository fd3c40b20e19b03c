"""Logs as JSON lines through absl.logging."""

import datetime
import json
import logging
import sys

from absl import logging as absl_logging

FIELDS = ("request", "operation", "step", "peer", "account", "inputs")


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object on one line."""

    def __init__(self, instance):
        super().__init__()
        self._instance = instance

    def format(self, record):
        """Return the record as JSON text."""
        moment = datetime.datetime.fromtimestamp(
            record.created, tz=datetime.timezone.utc
        )
        line = {
            "time": moment.isoformat(timespec="milliseconds"),
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
        return json.dumps(line, ensure_ascii=False)


def configure(instance, level="info", stream=None):
    """Send the program's logs to a stream as JSON lines.

    Args:
        instance: the name put in each line.
        level: debug, info, warning or error.
        stream: where to; standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
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
