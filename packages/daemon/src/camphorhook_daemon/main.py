"""The daemon's command line.

Usage:
    camphorhookd --config FILE [--check] [--found]
    camphorhookd --platform [--check]
    camphorhookd (-h | --help)

Options:
    --config FILE  The instance's settings, an INI file.
    --platform     Run on the platform; the environment variable
                   CAMPHORHOOK_BOOT names the settings file.
    --check        Check the settings, report the faults, and exit.
    --found        Bootstrap the replicated log: a replica without a data
                   folder becomes one of its first voters. Use it only for
                   the first start of a fleet; without it, a replica with
                   an empty disk joins as a learner.
"""

import functools
import sys
import time

# Read before the slow imports, to be close to the start of the process.
BEGAN_AT = time.clock_gettime(time.CLOCK_BOOTTIME)

import docopt  # noqa: E402

from camphorhook_common import errors  # noqa: E402


def main(argv=None):
    """Run the daemon; exit with the exit code of an error, if one occurs.

    Args:
        argv: command-line arguments; those of the process by default.
    """
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
    if arguments["--platform"]:
        _run_on_platform(arguments["--check"])
        return
    # Imported here since each process needs only one of the compositions, and
    # unused modules cost memory and start-up time.
    import trio

    from camphorhook_common import logs
    from camphorhook_common import settings as settings_module
    from camphorhook_daemon import composition

    settings = settings_module.load(arguments["--config"])
    if arguments["--check"]:
        print(f"{settings.file}: settings are valid")
        return
    logs.configure(settings.name, settings.log_level)
    trio.run(
        functools.partial(
            composition.run, settings, is_founding=arguments["--found"]
        )
    )


def _run_on_platform(only_check):
    from camphorhook_daemon import omissions

    omissions.omit()
    import trio

    from camphorhook_common import logs
    from camphorhook_daemon.platform import settings as platform_settings
    from camphorhook_daemon import platform_composition

    settings = platform_settings.ReloadableSettings(
        platform_settings.find_file()
    )
    if only_check:
        print(f"{platform_settings.find_file()}: settings are valid")
        return
    logs.configure(settings.label, "info", logs.NonBlockingStream(sys.stdout))
    trio.run(platform_composition.run, settings, BEGAN_AT)


def _find_first(group):
    """Return the first exception in a group that is not itself a group."""
    error = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _exit(error):
    print(error.format(), file=sys.stderr)
    sys.exit(error.exit_code)


if __name__ == "__main__":
    main()
