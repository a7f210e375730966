"""Text forms shared by commands and reports."""

__all__ = ["format_duration", "format_number", "format_table"]


def format_duration(duration_ms):
    """Return a duration in its largest whole unit, such as ``5 min``.

    :param duration_ms: milliseconds
    """
    for unit, size_ms in (("h", 3_600_000.0), ("min", 60_000.0), ("s", 1000.0)):
        if duration_ms >= size_ms:
            return f"{duration_ms / size_ms:g} {unit}"
    return f"{duration_ms:g} ms"


def format_number(value, *, digits=3):
    """Return a number with few digits, or ``-`` for ``None``."""
    if value is None:
        return "-"
    if isinstance(value, int):
        return str(value)
    return f"{value:.{digits}g}"


def format_table(header, rows):
    """Return an aligned text table.

    :param header: column titles; the first column is left-aligned, others right
    :param rows: sequences of cell texts, one for each title
    """
    cells = [tuple(header), *(tuple(row) for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    lines = []
    for row in cells:
        first = row[0].ljust(widths[0])
        rest = (cell.rjust(w) for cell, w in zip(row[1:], widths[1:], strict=True))
        lines.append("  ".join((first, *rest)).rstrip())
    return "\n".join(lines)
