"""Headers of messages between instances, kept apart from those passed on.

A request that is handed over, and its answer, have two kinds of headers: own
ones, by which instances tell each other something, and external ones of a
client or an upstream. The names of own headers begin with PREFIX. An external
header whose name does so too gets EXTERNAL_PREFIX before its name, so it never
has the name of an own one, whatever own headers there are.

Instances of builds before that send external headers unchanged, ahead of the
own ones, and read the first one of a name. They pass on no header whose name
begins with PREFIX.
"""

from camphorhook_daemon.adapters import header_codec

PREFIX = header_codec.OWN_PREFIX
# 14 bytes, fewer than the smallest line that it is added to: what it adds to a
# client's headers fits the limit of `_read_gateway_limits`.
EXTERNAL_PREFIX = PREFIX + "x-"


class AmbiguousError(Exception):
    """Own headers and external ones can't be told apart."""


def join(external, own):
    """Return the headers of a message to another instance.

    Args:
        external: (name, value) pairs to pass on; names are in lower case.
        own: (name, value) pairs whose names begin with PREFIX.
    """
    return [(_escape(name), value) for name, value in external] + own


def _escape(name):
    return EXTERNAL_PREFIX + name if name.startswith(PREFIX) else name


def split(headers):
    """Return the external and the own headers of a message.

    An escaped name that needed no escape is left out: no instance sends it,
    and it must not become the name of a header that only the system sets.

    Args:
        headers: (name, value) pairs of the message; names are in lower case.

    Returns:
        Two lists of (name, value) pairs, in the order of the message.
    """
    external, own = [], []
    for name, value in headers:
        if not name.startswith(PREFIX):
            external.append((name, value))
        elif not name.startswith(EXTERNAL_PREFIX):
            own.append((name, value))
        elif name.startswith(PREFIX, len(EXTERNAL_PREFIX)):
            external.append((name[len(EXTERNAL_PREFIX) :], value))
    return external, own


def index(own):
    """Return the values of own headers by name.

    Raises:
        AmbiguousError: a name occurs more than once.
    """
    values = {}
    for name, value in own:
        if name in values:
            raise AmbiguousError(f"the header {name} occurs more than once")
        values[name] = value
    return values
