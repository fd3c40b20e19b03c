"""Validation of rows and cells against the schemas of `tables`."""

import re

import expression

from camphorhook_common import tables

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,63}")


def _parse_value(column, value):
    """Return a value converted to its column's type.

    Raises:
        ValueError: the value is not allowed in the column.
    """
    match column:
        case tables.WholeNumber():
            number = int(str(value))
            if not column.low <= number <= column.high:
                raise ValueError(value)
            return number
        case tables.Decimal():
            number = float(str(value))
            if not column.low <= number <= column.high:
                raise ValueError(value)
            return number
        case tables.Choice():
            if value not in column.values:
                raise ValueError(value)
            return value
        case _:
            if not re.fullmatch(column.pattern, str(value)):
                raise ValueError(value)
            return str(value)


def check_row_name(table, row) -> expression.Result[str, tables.CellError]:
    """Return a row's name if it and the table's name are valid."""
    if table not in tables.TABLES:
        allowed = "one of the tables " + ", ".join(tables.TABLES)
        return expression.Error(
            tables.CellError(table, row, "-", table, allowed)
        )
    if not NAME_PATTERN.fullmatch(row):
        allowed = (
            "a letter or digit, then up to 63 letters, digits, dots, colons, "
            "- and _"
        )
        return expression.Error(
            tables.CellError(table, row, "-", row, allowed)
        )
    return expression.Ok(row)


def check_cell(
    table, row, column, value
) -> expression.Result[tables.Cell, tables.CellError]:
    """Return a cell's value converted to its column's type, if it is valid.

    Args:
        table: name of the table.
        row: name of the row.
        column: name of the column.
        value: the value, as text or in the column's type.
    """
    name_result = check_row_name(table, row)
    if name_result.is_error():
        return expression.Error(name_result.error)
    definition = tables.TABLES[table].get(column)
    if definition is None:
        allowed = "one of the columns " + ", ".join(tables.TABLES[table])
        return expression.Error(
            tables.CellError(table, row, column, column, allowed)
        )
    try:
        return expression.Ok(_parse_value(definition, value))
    except ValueError:
        allowed = tables.describe_column(definition)
        cell_error = tables.CellError(table, row, column, str(value), allowed)
        return expression.Error(cell_error)


def check_row(
    table, row, cells
) -> expression.Result[tables.Row, tables.CellError]:
    """Return a full row if it is valid; missing cells take their defaults.

    Args:
        table: name of the table.
        row: name of the row.
        cells: values by column, as text or in the columns' types.
    """
    name_result = check_row_name(table, row)
    if name_result.is_error():
        return expression.Error(name_result.error)
    checked = tables.default_row(table)
    for column, value in cells.items():
        result = check_cell(table, row, column, value)
        if result.is_error():
            return expression.Error(result.error)
        checked[column] = result.ok
    return expression.Ok(checked)
