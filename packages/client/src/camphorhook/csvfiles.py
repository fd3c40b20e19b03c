"""Reading and writing of configuration tables as CSV files.

The first column is `row`, the name of the row; the table's columns follow.
"""

import csv

from camphorhook_common import checks
from camphorhook_common import errors

ROW_COLUMN = "row"


def load(table, path):
    """Return the validated rows of a CSV file, by name.

    An empty cell takes the default of its column.

    Args:
        table: name of the table.
        path: path of the CSV file.

    Raises:
        errors.CamphorhookError: the file can't be read or has invalid rows;
            the message names the first error of each row.
    """
    try:
        with open(path, newline="") as file:
            records = list(csv.DictReader(file))
    except OSError as error:
        raise errors.CamphorhookError(
            str(error), step="import", peer=str(path)
        ) from error
    rows = {}
    row_errors = []
    for line_number, record in enumerate(records, start=2):
        name = record.pop(ROW_COLUMN, None)
        if not name:
            row_errors.append(
                f"line {line_number}: the column `row` is missing or empty"
            )
            continue
        text_cells = {
            key: value for key, value in record.items() if value != ""
        }
        result = checks.check_row(table, name, text_cells)
        if result.is_error():
            row_errors.append(f"line {line_number}: {result.error.format()}")
        else:
            rows[name] = result.ok
    if row_errors:
        raise errors.CamphorhookError(
            "\n".join(row_errors), step="import", peer=str(path)
        )
    return rows


def write(answer, file):
    """Write a table to a CSV file.

    Args:
        answer: table as returned by Client.read_table.
        file: text file to write to.
    """
    writer = csv.DictWriter(file, [ROW_COLUMN, *answer["columns"]])
    writer.writeheader()
    for name, row in answer["rows"].items():
        writer.writerow({ROW_COLUMN: name, **row["cells"]})
