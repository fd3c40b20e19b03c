"""Generates docs/reference.md: all settings, cells and log lines.

Usage:
    reference
"""

import ast
import pathlib

from camphorhook_common import settings
from camphorhook_common import tables

DAEMON = pathlib.Path("packages/daemon/src/camphorhook_daemon")
LOGGERS = {"log": 2, "log_step": 2}  # positional arguments, by function
OUTPUT = pathlib.Path("docs/reference.md")
HEAD = """# Reference

Written by `python -m tools.reference` from the code.

## Settings

An INI file for each instance; paths are relative to it.
`camphorhookd --config FILE --check` names every fault at once.
"""


def _list_settings():
    for section, options in settings.SECTIONS.items():
        yield f"\n### [{section}]\n"
        yield from _list_options(options)
    yield "\n### [instance NAME], one for each other instance\n"
    yield from _list_options(settings.PEER_OPTIONS)


def _list_options(options):
    yield "| option | default | meaning |"
    yield "| --- | --- | --- |"
    for name, option in options.items():
        default = option.default
        if default is settings.REQUIRED:
            default = "(required)"
        yield f"| {name} | {default} | {option.help} |"


def _list_tables():
    yield "\n## Tables\n"
    yield "Operators set cells; a cell is checked before it is accepted."
    for table, columns in tables.TABLES.items():
        yield f"\n### {table}\n"
        yield "| column | default | allowed | meaning |"
        yield "| --- | --- | --- | --- |"
        for name, column in columns.items():
            allowed = tables.describe_column(column)
            default = column.default
            yield f"| {name} | {default} | {allowed} | {column.help} |"


def _render_text(node):
    """Return an expression as text, with `...` for variable parts."""
    if isinstance(node, ast.Constant):
        return str(node.value)
    if isinstance(node, ast.JoinedStr):
        return "".join(
            str(part.value) if isinstance(part, ast.Constant) else "..."
            for part in node.values
        )
    return "..."


def _read_call(call):
    """Return (message, level, step, fields) of a log call, else None."""
    name = getattr(call.func, "attr", getattr(call.func, "id", ""))
    if name not in LOGGERS or len(call.args) < LOGGERS[name]:
        return None
    level, text = call.args[:2]
    if name == "log_step":
        # The arguments are request, text and level; the default is info.
        text = call.args[1]
        level = call.args[2] if len(call.args) > 2 else ast.Constant("info")
    fields = {one.arg: one.value for one in call.keywords if one.arg}
    step = fields.pop("step", ast.Constant("forward"))
    inputs = fields.pop("inputs", None)
    if None in {one.arg for one in call.keywords} and name == "log":
        return None  # passes on the arguments of log_step
    names = sorted(name for name in fields if name != "with_trace")
    if name == "log_step":
        names = sorted({*names, "request", "account"})
    if isinstance(inputs, ast.Dict):
        names += [f"inputs.{_render_text(key)}" for key in inputs.keys]
    elif inputs is not None:
        names.append("inputs")
    return _render_text(text), _render_text(level), _render_text(step), names


def _list_log_lines():
    """Yield the lines of a table of log lines for each module."""
    yield "\n## Log lines of the daemon\n"
    yield "`...` stands for what varies. Each line also has time, level,"
    yield "instance and message."
    for path in sorted(DAEMON.rglob("*.py")):
        found = [
            _read_call(node)
            for node in ast.walk(ast.parse(path.read_text()))
            if isinstance(node, ast.Call)
        ]
        rows = sorted({(*one[:3], ", ".join(one[3])) for one in found if one})
        if not rows:
            continue
        yield f"\n### {path.relative_to(DAEMON)}\n"
        yield "| message | level | step | fields |"
        yield "| --- | --- | --- | --- |"
        for row in rows:
            yield "| " + " | ".join(row) + " |"


def render():
    """Return the text of the page."""
    lines = [HEAD, *_list_settings(), *_list_tables(), *_list_log_lines()]
    return "\n".join(lines) + "\n"


def main():
    """Write the page to OUTPUT."""
    OUTPUT.write_text(render())


if __name__ == "__main__":
    main()
