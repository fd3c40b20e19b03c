"""Generates the settings and tables of examples from their fleet.ini.

Usage:
    examples FOLDER...
"""

import csv
import pathlib

import docopt

from camphorhook_common import secrets
from tests.harness import plans

ACCOUNTS = 10
LARGE_ACCOUNTS = 3


def write_tables(plan, folder):
    """Write the CSV files that the demonstration imports."""
    _write(folder / "client_accounts.csv", list_accounts(plan))
    _write(folder / "services.csv", list_services(plan))
    _write(folder / "routes.csv", list_routes(plan))
    domains = [{"row": name, "state": "in"} for name in plan.list_domains()]
    _write(folder / "failure_domains.csv", domains)


def list_accounts(plan):
    """Return the rows of the client accounts; the first ones are large."""
    rows = []
    for number in range(1, ACCOUNTS + 1):
        large = number <= LARGE_ACCOUNTS
        key = make_account_key(plan, number)
        rows.append(
            {
                "row": f"account-{number}",
                "key_hash": secrets.hash_key(key),
                "weight": 4 if large else 1,
                "requests_per_second": 200 if large else 50,
                "concurrency": 256 if large else 64,
            }
        )
    return rows


def make_account_key(plan, number):
    """Return the API key of an account, derived from the plan's key."""
    if number == 1:
        return plan.account_key
    return f"{plan.account_key}-{number}"


def list_services(plan):
    """Return a row for each service of the plan."""
    kinds = {one.service: one.models for one in plan.upstreams}
    return [
        {"row": name, "kind": "model" if models else "plain"}
        for name, models in sorted(kinds.items())
    ]


def list_routes(plan):
    """Return the routes of plain services; only reads are repeatable."""
    rows = []
    plain = {one.service for one in plan.upstreams if not one.models}
    for service in sorted(plain):
        for name, method, prefix, repeatable in (
            ("read", "GET", "/", "yes"),
            ("book", "POST", "/bookings", "no"),
            ("charge", "POST", "/charges", "no"),
        ):
            rows.append(
                {
                    "row": f"{service}-{name}",
                    "service": service,
                    "method": method,
                    "path_prefix": prefix,
                    "repeatable": repeatable,
                }
            )
    return rows


def _write(path, rows):
    with open(path, "w", newline="") as file:
        writer = csv.DictWriter(file, list(rows[0]), lineterminator="\n")
        writer.writeheader()
        writer.writerows(rows)


def main():
    """Write the files of the examples on the command line."""
    for name in docopt.docopt(__doc__)["FOLDER"]:
        folder = pathlib.Path(name)
        plan = plans.load_plan(folder / "fleet.ini")
        plans.write_settings(plan, folder, f"../../run/{plan.name}")
        write_tables(plan, folder)


if __name__ == "__main__":
    main()
