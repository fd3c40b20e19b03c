"""The daemon's command line.

Usage:
    camphorhookd --config FILE [--check] [--found]
    camphorhookd (-h | --help)

Options:
    --config FILE  The instance's settings, an INI file.
    --check        Check the settings, name every fault, and exit.
    --found        Found the replicated log: a replica without a data folder
                   becomes one of its first voters. Give it at the very
                   first start of a fleet only; without it, a replica with
                   an empty disk joins as a learner.
"""

import functools
import sys

import docopt
import trio

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import settings as settings_module
from camphorhook_daemon import composition


def main(argv=None):
    """Run the daemon; exits with the code of the error, if any."""
    arguments = docopt.docopt(__doc__, argv)
    try:
        _run(arguments)
    except errors.CamphorhookError as error:
        _exit(error)
    except BaseExceptionGroup as group:
        found = group.subgroup(errors.CamphorhookError)
        if found is None:
            raise
        _exit(_find_first(found))


def _run(arguments):
    settings = settings_module.load(arguments["--config"])
    if arguments["--check"]:
        print(f"{settings.file}: settings are right")
        return
    logs.configure(settings.name, settings.log_level)
    trio.run(
        functools.partial(
            composition.run, settings, found=arguments["--found"]
        )
    )


def _find_first(group):
    """Return the first plain exception of a group."""
    error = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _exit(error):
    print(error.format(), file=sys.stderr)
    sys.exit(error.exit_code)


if __name__ == "__main__":
    main()
