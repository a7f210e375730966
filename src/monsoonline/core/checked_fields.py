"""Validation of JSON documents that reports all findings with their location.

Used instead of a validation library for documents that an entry reads at run time:
loading such a library would take a fifth of the entry's memory.
"""

import ipaddress
import math
import re
import sys

from monsoonline.errors import Finding, FindingsError

__all__ = [
    "MAX_INTEGER",
    "CheckedFields",
    "is_address",
    "is_number",
    "is_text",
    "parse_time_ms",
]

# Programs print computed numbers with up to 17 digits, or with an exponent.
DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?)(ms|s)")
# Longest wait of a poll; a longer duration has the same effect.
MAX_DURATION_MS = 2.0**31 - 1
UNIT_MS = {"ms": 1.0, "s": 1000.0}
ADDRESS = re.compile(r"([0-9.]{7,15}):([0-9]{1,5})")
MAX_PORT = 65_535
MAX_INTEGER = 2**63 - 1
MISSING = object()


def parse_duration_ms(text):
    """Return a duration such as ``2.5s`` in ms, ``None`` if it is not valid."""
    time_ms = parse_time_ms(text)
    return None if time_ms is None else min(MAX_DURATION_MS, time_ms)


def parse_time_ms(text):
    """Return a time such as ``51230ms`` in ms, ``None`` if it is not valid."""
    match = DURATION.fullmatch(text)
    if match is None:
        return None
    time_ms = float(match[1]) * UNIT_MS[match[2]]
    return time_ms if math.isfinite(time_ms) else None


class CheckedFields:
    """Reads and validates the fields of one JSON object.

    An invalid field is recorded as a finding and read as a placeholder value, which
    lets one pass report all errors of a document. Call :meth:`finish` before using
    any value.

    :param document: the decoded JSON value, which must be an object
    :param place: file or row named in the findings
    :param path: path of the object within the place
    :param findings: list to which findings are appended, a new one by default
    """

    def __init__(self, document, *, place, path="", findings=None):
        self._place = place
        self._path = path
        self._findings = [] if findings is None else findings
        if not isinstance(document, dict):
            self._add(path or ".", document, "an object")
            document = {}
        self._document = document

    @property
    def document(self):
        """The decoded JSON object, empty if the value was none."""
        return self._document

    @property
    def findings(self):
        """The findings recorded so far."""
        return self._findings

    def finish(self):
        """Raise :class:`FindingsError` if any finding was recorded."""
        if self._findings:
            raise FindingsError(self._findings)

    def has(self, name):
        """Return whether a field is present and not null."""
        return self._document.get(name) is not None

    def string(self, name, *, default=MISSING):
        """Return a field that is a non-empty string."""
        return self._field(name, default, "", is_text, "a non-empty string")

    def texts(self, name):
        """Return a field that is a list of non-empty strings."""
        return self._field(
            name,
            MISSING,
            [],
            lambda v: isinstance(v, list) and all(map(is_text, v)),
            "a list of non-empty strings",
        )

    def address(self, name, *, default=MISSING):
        """Return a field that is an IPv4 address with a port."""
        return self._field(
            name,
            default,
            "",
            is_address,
            "an address such as 10.0.0.1:8080",
        )

    def boolean(self, name, *, default=MISSING):
        """Return a field that is a boolean."""
        return self._field(
            name, default, False, lambda v: isinstance(v, bool), "true or false"
        )

    def number(self, name, *, default=MISSING, minimum=0.0, maximum=float("inf")):
        """Return a field that is a number within inclusive bounds."""
        return self._field(
            name,
            default,
            minimum,
            lambda v: is_number(v) and minimum <= v <= maximum,
            f"a number from {minimum:g} to {maximum:g}",
        )

    def integer(self, name, *, default=MISSING, minimum=0, maximum=MAX_INTEGER):
        """Return a field that is an integer within inclusive bounds."""
        value = self._field(
            name,
            default,
            minimum,
            lambda v: is_number(v) and int(v) == v and minimum <= v <= maximum,
            f"an integer from {minimum} to {maximum}",
        )
        # Entries compare digests of values, in which 3.0 would differ from 3.
        return int(value) if isinstance(value, float) else value

    def duration_ms(self, name, *, default=MISSING):
        """Return a duration such as ``1500ms`` or ``2.5s``, converted to ms."""
        duration = self._field(
            name,
            default,
            "0ms",
            lambda v: isinstance(v, str) and parse_duration_ms(v) is not None,
            "a duration such as 1500ms or 2.5s",
        )
        return parse_duration_ms(duration) if isinstance(duration, str) else duration

    def choice(self, name, valid, *, default=MISSING):
        """Return a field that is one of the valid strings."""
        return self._field(
            name, default, valid[0], lambda v: v in valid, f"one of {', '.join(valid)}"
        )

    def child(self, name):
        """Return the :class:`CheckedFields` of a nested object."""
        return CheckedFields(
            self._document.get(name),
            place=self._place,
            path=self._path_of(name),
            findings=self._findings,
        )

    def children(self, name):
        """Yield the :class:`CheckedFields` of each object in a list field."""
        rows = self._document.get(name, [])
        if not isinstance(rows, list):
            self._add(self._path_of(name), rows, "a list of objects")
            return
        for index, row in enumerate(rows):
            yield CheckedFields(
                row,
                place=self._place,
                path=f"{self._path_of(name)}[{index}]",
                findings=self._findings,
            )

    def add_finding(self, name, expected):
        """Record that a field is invalid.

        :param name: name of the field
        :param expected: description of the valid values
        """
        self._add(self._path_of(name), self._document.get(name), expected)

    def _field(self, name, default, fallback, valid, expected):
        value = self._document.get(name)
        if value is None and default is not MISSING:
            return default
        if not valid(value):
            self._add(self._path_of(name), value, expected)
            return fallback
        return value

    def _path_of(self, name):
        return f"{self._path}.{name}" if self._path else name

    def _add(self, path, value, expected):
        self._findings.append(
            Finding(place=self._place, path=path, value=value, expected=expected)
        )


def is_number(value):
    """Return whether a JSON value is a finite number; booleans are not numbers."""
    return (
        isinstance(value, int | float)
        and not isinstance(value, bool)
        and abs(value) <= sys.float_info.max
    )


def is_text(value):
    """Return whether a JSON value is a non-empty string that UTF-8 can encode."""
    if not isinstance(value, str) or not value:
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def is_address(value):
    """Return whether a JSON value is an IPv4 address with a port."""
    match = ADDRESS.fullmatch(value) if isinstance(value, str) else None
    if match is None or not 1 <= int(match[2]) <= MAX_PORT:
        return False
    try:
        ipaddress.IPv4Address(match[1])
    except ValueError:
        return False
    return True
