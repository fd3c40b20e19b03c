"""Report on log files: an HTML page with a plot for each kind of event.

Each plot shows counts of log lines per second: requests sent, refusals by
reason, failed attempts, origins of shared prompt parts, slow streams, states
of upstreams, elections and documents.
"""

import base64
import collections
import html
import io
import string
import typing

from camphorhook_common import errors

MAX_PLOT_LINES = 6  # curves of a plot; the rarer ones are summed as "other"
SLOW_THRESHOLD_MS = 400  # longest usual wait for an event
PAGE_TEMPLATE = string.Template("""<!doctype html>
<html><head><meta charset="utf-8"><title>camphorhook: log report</title>
<style>
body { font: 14px sans-serif; margin: 2em; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { border: 1px solid #bbb; padding: 2px 8px; text-align: right; }
td:first-child, th:first-child { text-align: left; }
</style></head><body>
<h1>$title</h1>
$sections
</body></html>
""")


class Series(typing.NamedTuple):
    """Counts of log lines per second, for one plot.

    Attributes:
        title: title of the plot.
        counts: a Counter for each label; it maps the whole seconds since the
            first log line to the number of lines in that second.
    """

    title: str
    counts: dict[str, collections.Counter]


def _count_by_second(title, lines, started_at, label_line):
    """Return the Series of the lines that have a label.

    Args:
        title: title of the plot.
        lines: a list of explanation.Line.
        started_at: time of the first line, in seconds since the epoch.
        label_line: function that returns the label of a line; empty if the
            line is not counted.
    """
    counts = collections.defaultdict(collections.Counter)
    for line in lines:
        label = label_line(line)
        if label:
            counts[label][int(line.at - started_at)] += 1
    return Series(title, _merge_rare(counts))


def _merge_rare(counts):
    ordered = sorted(counts, key=lambda label: -counts[label].total())
    kept = {label: counts[label] for label in ordered[:MAX_PLOT_LINES]}
    for label in ordered[MAX_PLOT_LINES:]:
        kept.setdefault("other", collections.Counter()).update(counts[label])
    return kept


def _label_refusal(line):
    return line.message if line.message.startswith("answered 5") else ""


def _label_failure(line):
    head, _, reason = line.message.partition(": ")
    return reason if head == "attempt failed" else ""


def _label_placement(line):
    if line.message != "sent to an upstream" or not line.inputs.get("part"):
        return ""
    if line.inputs.get("held"):
        return "where the part was"
    return "copied" if line.inputs.get("source") else "to be read"


def _label_slow_stream(line):
    if line.message != "stream ended":
        return ""
    if line.inputs.get("first_ms", 0) > SLOW_THRESHOLD_MS:
        return "first event late"
    return (
        "long pause"
        if line.inputs.get("pause_ms", 0) > SLOW_THRESHOLD_MS
        else ""
    )


def _label_instance_event(line):
    for phrase in ("leads the log", "lost a replica", "instance started"):
        if phrase in line.message:
            return phrase
    if line.message.endswith("is in force"):
        return "document in force"
    return ""


def _label_upstream_state(line):
    if line.message.startswith("upstream is "):
        return line.message
    return ""


def _label_send(line):
    if line.message != "sent to an upstream":
        return ""
    return "again" if line.inputs.get("attempt", 1) > 1 else "first time"


PLOTS = {
    "Requests sent to upstreams": _label_send,
    "Refused, by reason": _label_refusal,
    "Failed attempts": _label_failure,
    "Shared prompt parts, by origin": _label_placement,
    "Slow streams": _label_slow_stream,
    "Upstreams, as reported by replicas": _label_upstream_state,
    "Instances, leaders and documents": _label_instance_event,
}


def summarize(files):
    """Return a list with the Series of each plot.

    Args:
        files: a list of explanation.Line for each process.

    Raises:
        errors.StorageError: the files hold no log line.
    """
    lines = sorted(
        (line for file in files for line in file), key=lambda line: line.at
    )
    if not lines:
        raise errors.StorageError(
            "no log line was found; pass the log files of the processes",
            step="report",
        )
    return [
        _count_by_second(title, lines, lines[0].at, label_line)
        for title, label_line in PLOTS.items()
    ]


def render(series, title):
    """Return the report as HTML text.

    Args:
        series: list of Series, in the order of the plots.
        title: heading of the page.

    Raises:
        errors.CamphorhookError: matplotlib is not installed.
    """
    sections = []
    for item in series:
        sections.append(f"<h2>{html.escape(item.title)}</h2>")
        if not item.counts:
            sections.append("<p>None.</p>")
            continue
        image = base64.b64encode(_plot(item)).decode()
        sections.append(f'<img src="data:image/png;base64,{image}">')
        sections.append(_make_table(item))
    return PAGE_TEMPLATE.substitute(
        title=html.escape(title), sections="\n".join(sections)
    )


def _make_table(series):
    rows = [
        f"<tr><td>{html.escape(label)}</td><td>{counts.total()}</td>"
        f"<td>{min(counts)} to {max(counts)}</td>"
        f"<td>{max(counts.values())}</td></tr>"
        for label, counts in series.counts.items()
    ]
    head = (
        "<tr><th></th><th>total</th><th>seconds</th>"
        "<th>maximum per second</th>"
    )
    return f"<table>{head}</tr>{''.join(rows)}</table>"


def _plot(series):
    """Return the plot of a Series as bytes of a PNG image.

    Raises:
        errors.CamphorhookError: matplotlib is not installed.
    """
    try:
        # Imported here, as no other command needs it.
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot
    except ImportError as error:
        raise errors.CamphorhookError(
            "matplotlib is not installed; the plots of a report need it",
            step="report",
        ) from error
    last_second = max(max(counts) for counts in series.counts.values())
    figure, axes = pyplot.subplots(figsize=(9, 2.6))
    for label, counts in series.counts.items():
        values = [counts[second] for second in range(last_second + 1)]
        axes.step(range(last_second + 1), values, where="post", label=label)
    axes.set_xlabel("seconds since the first log line")
    axes.set_ylabel("log lines per second")
    axes.legend(fontsize=7)
    figure.tight_layout()
    target = io.BytesIO()
    figure.savefig(target, format="png", dpi=90)
    pyplot.close(figure)
    return target.getvalue()
