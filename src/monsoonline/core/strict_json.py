"""Decoding of JSON that other programs wrote.

``json.loads`` accepts numbers that are not JSON, and its recursion is bounded by the
interpreter's limit, which the small stacks of an entry's threads may not hold.
"""

import json

__all__ = ["MAX_DEPTH", "parse_strict_json"]

# Documents of the platform and messages between entries are at most 8 levels deep.
MAX_DEPTH = 64
NOT_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))


def reject_constant(name):
    """Reject ``NaN`` and ``Infinity``, which are not JSON.

    :raises ValueError: always
    """
    raise ValueError(f"{name} is not a JSON value")


DECODER = json.JSONDecoder(parse_constant=reject_constant)


def parse_strict_json(content):
    """Return the JSON value that UTF-8 bytes encode.

    :param content: the bytes
    :raises ValueError: if the bytes are not JSON, or nested more than
        :data:`MAX_DEPTH` levels
    """
    if content.count(b"[") + content.count(b"{") > MAX_DEPTH and is_deeper(content):
        raise ValueError(f"nested more than {MAX_DEPTH} levels")
    return DECODER.decode(content.decode("utf-8"))


def is_deeper(content):
    """Return whether brackets are nested more than :data:`MAX_DEPTH` levels.

    Brackets that do not match count as nested, since the content is not JSON then.
    """
    if b"\\" in content:
        content = content.replace(rb"\\", b"").replace(rb"\"", b"")
    outside_strings = b"".join(content.split(b'"')[::2])
    brackets = outside_strings.translate(None, NOT_BRACKETS)
    for _ in range(MAX_DEPTH):
        if not brackets:
            return False
        brackets = brackets.replace(b"[]", b"").replace(b"{}", b"")
    return bool(brackets)
