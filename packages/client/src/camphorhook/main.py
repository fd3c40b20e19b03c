"""Operates a fleet of camphorhook instances.

Usage:
    camphorhook [options] table TABLE
    camphorhook [options] set TABLE ROW COLUMN VALUE
    camphorhook [options] add TABLE ROW [CELL...]
    camphorhook [options] remove TABLE ROW
    camphorhook [options] import TABLE FILE
    camphorhook [options] export TABLE [FILE]
    camphorhook [options] import-document FILE [--version N] [--dry-run]
    camphorhook [options] take-out DOMAIN
    camphorhook [options] bring-back DOMAIN
    camphorhook [options] drain (upstream | instance) NAME [--undo]
    camphorhook [options] status
    camphorhook [options] upstreams
    camphorhook [options] where HOST PATH [--parts LIST]
    camphorhook [options] timeline [FILE...]
    camphorhook [options] explain REQUEST FILE...
    camphorhook [options] report PAGE FILE...
    camphorhook [options] keys FOLDER NAMES...
    camphorhook [options] make-key
    camphorhook (-h | --help)

Tables are client_accounts, services, routes, failure_domains, upstreams and
instances. CELL is COLUMN=VALUE. A document holds all routes, services and
client accounts; import-document needs a replica's control port as --server.
report writes an HTML page with plots of the events in log files. where shows
to which upstream an instance would send a request now, without sending it; it
needs the instance's metrics port as --server.

Options:
    --server LIST     Operators' ports as ADDRESS:PORT, separated by commas;
                      without it, CAMPHORHOOK_SERVERS is used.
    --key KEY         Bearer key of an operator; without it, CAMPHORHOOK_KEY
                      is used.
    --expected N      Version that the row must have; 0: the row must not
                      exist, -1: any version.
    --operation ID    Id that makes the change idempotent: a repeated id gets
                      the outcome of the first change.
    --version N       Version to give the document in place of its own.
    --dry-run         Print the faults of the document and what would change;
                      change nothing.
    --undo            End a drain.
    --parts LIST      Parts of the request's prompt, as ID:TOKENS entries
                      separated by commas.
    --word ID         Only events with this request id, operation id or peer.
    --instance NAME   Only events of this instance.
    --event PREFIX    Only events whose name starts with this prefix.
    --limit N         Maximum number of events, the newest [default: 200].
    --json            Print JSON.
    -h --help         Print this text.

Exit codes: 0 success; 1 rejected or failed; 2 invalid usage or settings;
3 version conflict; 4 no instance or no quorum answered.
"""

import os
import sys

import docopt

from camphorhook import api_client
from camphorhook import commands
from camphorhook_common import errors

COMMANDS = {
    "table": commands.show_table,
    "set": commands.set_cell,
    "add": commands.add_row,
    "remove": commands.remove_row,
    "import": commands.import_table,
    "export": commands.export_table,
    "import-document": commands.import_document,
    "take-out": commands.take_out,
    "bring-back": commands.bring_back,
    "drain": commands.drain,
    "status": commands.show_status,
    "upstreams": commands.show_upstreams,
    "where": commands.show_placement,
    "timeline": commands.show_timeline,
    "explain": commands.explain_request,
    "report": commands.write_report,
    "keys": commands.make_keys,
    "make-key": commands.make_bearer_key,
}
DEFAULT_SERVER = "127.0.0.1:8103"


def _make_client(arguments):
    environment = os.environ
    servers = arguments["--server"] or environment.get(
        "CAMPHORHOOK_SERVERS", DEFAULT_SERVER
    )
    key = arguments["--key"] or environment.get("CAMPHORHOOK_KEY", "")
    return api_client.Client(servers.split(","), key)


def main(argv=None):
    """Run a command; exit with the exit code of an error, if one occurs.

    Args:
        argv: command-line arguments; those of the process by default.
    """
    try:
        arguments = docopt.docopt(__doc__, argv)
    except docopt.DocoptExit as error:
        print(error, file=sys.stderr)
        sys.exit(errors.EXIT_USAGE)
    name = next(name for name in COMMANDS if arguments[name])
    if isinstance(arguments["FILE"], str):
        arguments["FILE"] = [arguments["FILE"]]
    try:
        COMMANDS[name](_make_client(arguments), arguments)
    except errors.CamphorhookError as error:
        print(error.format(), file=sys.stderr)
        sys.exit(error.exit_code)
    except BrokenPipeError:
        sys.exit(errors.EXIT_FAILURE)


if __name__ == "__main__":
    main()
