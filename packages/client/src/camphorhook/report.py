"""One page with plots of what log files tell of a day.

Lines become series of counts by second: requests sent, refusals by reason,
failed attempts, how prompts were placed, elections and documents.
"""

import base64
import collections
import html
import io
import string
import typing

from camphorhook_common import errors

MOST_NAMES = 6  # lines in one plot; what is rarer is "other"
SLOWEST_MS = 400  # a first event later than this counts as slow
PAGE = string.Template("""<!doctype html>
<html><head><meta charset="utf-8"><title>camphorhook: a day</title>
<style>
body { font: 14px sans-serif; margin: 2em; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { border: 1px solid #bbb; padding: 2px 8px; text-align: right; }
td:first-child, th:first-child { text-align: left; }
</style></head><body>
<h1>$title</h1>
$parts
</body></html>
""")


class Series(typing.NamedTuple):
    """Counts by second.

    Attributes:
        title: of its plot.
        counts: Counter of seconds, by name.
    """

    title: str
    counts: dict[str, collections.Counter]


def _count_all(title, lines, began_at, name_line):
    """Return the Series of the lines that a function names."""
    counts = collections.defaultdict(collections.Counter)
    for line in lines:
        name = name_line(line)
        if name:
            counts[name][int(line.at - began_at)] += 1
    return Series(title, _keep_common(counts))


def _keep_common(counts):
    ordered = sorted(counts, key=lambda name: -counts[name].total())
    kept = {name: counts[name] for name in ordered[:MOST_NAMES]}
    for name in ordered[MOST_NAMES:]:
        kept.setdefault("other", collections.Counter()).update(counts[name])
    return kept


def _name_refusal(line):
    return line.message if line.message.startswith("answered 5") else ""


def _name_failure(line):
    head, _, rest = line.message.partition(": ")
    return rest if head == "attempt failed" else ""


def _name_placement(line):
    if line.message != "sent to an upstream" or not line.inputs.get("part"):
        return ""
    if line.inputs.get("held"):
        return "where the part was"
    return "copied" if line.inputs.get("source") else "to be read"


def _name_slow(line):
    if line.message != "stream ended":
        return ""
    if line.inputs.get("first_ms", 0) > SLOWEST_MS:
        return "first event late"
    return "long pause" if line.inputs.get("pause_ms", 0) > SLOWEST_MS else ""


def _name_belief(line):
    for word in ("leads the log", "lost a replica", "instance started"):
        if word in line.message:
            return word
    if line.message.endswith("is in force"):
        return "document in force"
    return ""


def _name_upstream(line):
    if line.message.startswith("upstream is "):
        return line.message
    return ""


def _name_sent(line):
    if line.message != "sent to an upstream":
        return ""
    return "again" if line.inputs.get("attempt", 1) > 1 else "first time"


PLOTS = {
    "Requests sent to upstreams": _name_sent,
    "Refused, by reason": _name_refusal,
    "Attempts that failed": _name_failure,
    "Prompts: where their shared part came from": _name_placement,
    "Streams that were slow": _name_slow,
    "Upstreams, as replicas hear them": _name_upstream,
    "Instances, leaders and documents": _name_belief,
}


def summarize(files):
    """Return a Series for each plot.

    Args:
        files: lists of explanation.Line, one of each process.

    Raises:
        errors.StorageError: there is no line.
    """
    lines = sorted(
        (line for file in files for line in file), key=lambda one: one.at
    )
    if not lines:
        raise errors.StorageError(
            "no log line was found; pass the processes' log files",
            step="report",
        )
    return [
        _count_all(title, lines, lines[0].at, name_line)
        for title, name_line in PLOTS.items()
    ]


def render(series, title):
    """Return the page as HTML text.

    Raises:
        errors.CamphorhookError: the library for plots isn't installed.
    """
    parts = []
    for one in series:
        parts.append(f"<h2>{html.escape(one.title)}</h2>")
        if not one.counts:
            parts.append("<p>None.</p>")
            continue
        picture = base64.b64encode(_plot(one)).decode()
        parts.append(f'<img src="data:image/png;base64,{picture}">')
        parts.append(_make_table(one))
    return PAGE.substitute(title=html.escape(title), parts="\n".join(parts))


def _make_table(series):
    rows = [
        f"<tr><td>{html.escape(name)}</td><td>{counts.total()}</td>"
        f"<td>{min(counts)} to {max(counts)}</td>"
        f"<td>{max(counts.values())}</td></tr>"
        for name, counts in series.counts.items()
    ]
    head = "<tr><th></th><th>in all</th><th>seconds</th><th>most a second</th>"
    return f"<table>{head}</tr>{''.join(rows)}</table>"


def _plot(series):
    """Return a PNG picture of a Series."""
    try:
        # Imported here, as no other command needs it.
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot
    except ImportError as error:
        raise errors.CamphorhookError(
            "install matplotlib for plots", step="report"
        ) from error
    last = max(max(counts) for counts in series.counts.values())
    figure, axes = pyplot.subplots(figsize=(9, 2.6))
    for name, counts in series.counts.items():
        values = [counts[second] for second in range(last + 1)]
        axes.step(range(last + 1), values, where="post", label=name)
    axes.set_xlabel("second of the logs")
    axes.set_ylabel("a second")
    axes.legend(fontsize=7)
    figure.tight_layout()
    target = io.BytesIO()
    figure.savefig(target, format="png", dpi=90)
    pyplot.close(figure)
    return target.getvalue()
