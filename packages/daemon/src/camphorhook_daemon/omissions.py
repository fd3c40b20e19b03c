"""Leaves out parts of libraries that an instance on the platform never uses.

Every import costs memory and start-up time on each machine. Libraries import
some optional parts of themselves unconditionally; these are replaced by empty
modules before the libraries are imported.
"""

import sys
import types

OMITTED = (
    "absl.flags",  # absl.logging defines command-line flags
    "idna",  # trio encodes host names; there are only IP addresses
    "ssl",  # connections within the platform are not encrypted
    "trio._dtls",
    "trio._highlevel_ssl_helpers",
    "trio._ssl",
    "trio._subprocess",  # an instance starts no process
)


class _AnyType(type):
    """Type of a name that libraries refer to when they are imported."""

    def __getattr__(cls, name):
        if name.startswith("__"):
            raise AttributeError(name)
        return Omitted

    def __or__(cls, other):
        return cls

    __ror__ = __or__

    def __getitem__(cls, parameters):
        return cls


class Omitted(metaclass=_AnyType):
    """Stands for every class and function of an omitted module."""

    def __init__(self, *args, **kwargs):
        pass


class _OmittedModule(types.ModuleType):
    def __getattr__(self, name):
        if name.startswith("__"):
            raise AttributeError(name)
        return Omitted


def omit(names=OMITTED):
    """Replace modules by empty ones; call it before they are imported.

    Args:
        names: full names of modules and packages.
    """
    for name in names:
        if name not in sys.modules:
            module = _OmittedModule(name)
            module.__path__ = []
            sys.modules[name] = module
