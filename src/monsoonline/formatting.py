"""Text formatting shared by commands and reports."""

__all__ = ["format_duration", "format_number", "format_table"]


def format_duration(duration_ms):
    """Format a duration in the largest unit that does not exceed it, as in ``5 min``.

    :param duration_ms: milliseconds
    """
    for unit, unit_ms in (("h", 3_600_000.0), ("min", 60_000.0), ("s", 1000.0)):
        if duration_ms >= unit_ms:
            return f"{duration_ms / unit_ms:g} {unit}"
    return f"{duration_ms:g} ms"


def format_number(value, *, digits=3):
    """Format a number, ``None`` as ``-``.

    :param value: number; integers are not rounded
    :param digits: significant digits of a float
    """
    if value is None:
        return "-"
    if isinstance(value, int):
        return str(value)
    return f"{value:.{digits}g}"


def format_table(header, rows):
    """Format an aligned text table.

    The first column is left-aligned, all others are right-aligned.

    :param header: column titles
    :param rows: iterable of rows with one cell text per column
    """
    cells = [tuple(header), *(tuple(row) for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    lines = []
    for row in cells:
        first = row[0].ljust(widths[0])
        rest = (
            cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=True)
        )
        lines.append("  ".join((first, *rest)).rstrip())
    return "\n".join(lines)
