"""Compiles sources to byte code without doc strings and assertions.

Usage: compile.py FOLDER

The interpreter keeps doc strings in memory. The files are named as for an
interpreter without options, and are not compared with their sources at each
start, which saves time.
"""

import pathlib
import py_compile
import sys

KEPT = ("main.py",)  # its doc string is the usage message


def compile_folder(folder):
    """Compile each source below a folder."""
    for path in pathlib.Path(folder).rglob("*.py"):
        py_compile.compile(
            str(path),
            doraise=False,
            quiet=2,
            optimize=0 if path.name in KEPT else 2,
            cfile=_make_name(path),
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )


def _make_name(path):
    """Return the file from which the interpreter loads a source's code."""
    tag = sys.implementation.cache_tag
    return str(path.parent / "__pycache__" / f"{path.stem}.{tag}.pyc")


if __name__ == "__main__":
    compile_folder(sys.argv[1])
