"""Writes docs/reference.md: every setting and every cell.

Usage:
    reference
"""

import pathlib

from camphorhook_common import settings
from camphorhook_common import tables

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


def main():
    """Write the page."""
    lines = [HEAD, *_list_settings(), *_list_tables()]
    OUTPUT.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
