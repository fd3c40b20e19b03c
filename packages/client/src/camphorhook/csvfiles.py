"""Tables as CSV files: a column `row`, then the table's columns."""

import csv

from camphorhook_common import checks
from camphorhook_common import errors

ROW_COLUMN = "row"


def load(table, path):
    """Return checked rows by name.

    Raises:
        errors.CamphorhookError: names every wrong cell of the file.
    """
    try:
        with open(path, newline="") as file:
            records = list(csv.DictReader(file))
    except OSError as error:
        raise errors.CamphorhookError(
            str(error), step="import", peer=str(path)
        ) from error
    rows = {}
    faults = []
    for number, record in enumerate(records, start=2):
        name = record.pop(ROW_COLUMN, None)
        if not name:
            faults.append(f"line {number}: the column `row` is missing")
            continue
        given = {key: value for key, value in record.items() if value != ""}
        checked = checks.check_row(table, name, given)
        if checked.is_error():
            faults.append(f"line {number}: {checked.error.format()}")
        else:
            rows[name] = checked.ok
    if faults:
        raise errors.CamphorhookError(
            "\n".join(faults), step="import", peer=str(path)
        )
    return rows


def write(answer, file):
    """Write a table as the operators' interface gives it."""
    writer = csv.DictWriter(file, [ROW_COLUMN, *answer["columns"]])
    writer.writeheader()
    for name, row in answer["rows"].items():
        writer.writerow({ROW_COLUMN: name, **row["cells"]})
