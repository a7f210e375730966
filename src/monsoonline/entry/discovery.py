"""Answers callers who ask which entries to use."""

import orjson

from monsoonline.types import Answer

__all__ = ["Discovery"]

ENTRIES_PATH = "/.well-known/monsoonline/entries"
TOKEN_PATH = "/.well-known/monsoonline/token"


class Discovery:
    """Serves the list of ready entries and tokens for keys.

    :param members: function that returns the members
    :param ledger: source of the token
    :param lifetime_ms: how long callers may keep an answer
    """

    def __init__(self, *, members, ledger, lifetime_ms):
        self._members = members
        self._ledger = ledger
        self._lifetime_ms = lifetime_ms

    def handle(self, request):
        """Return the answer, or ``None`` for other paths."""
        if request.path == ENTRIES_PATH:
            return self._answer(
                {
                    "entries": [
                        {"address": m.address, "failure_domain": m.failure_domain}
                        for m in self._members()
                        if m.ready and m.state == "alive"
                    ],
                    "lifetime_ms": self._lifetime_ms,
                    "token": self._ledger.token(),
                }
            )
        if request.path == TOKEN_PATH:
            return self._answer({"token": self._ledger.token()})
        return None

    @staticmethod
    def _answer(document):
        return Answer(
            status=200,
            headers=(
                ("Content-Type", "application/json"),
                ("Cache-Control", "no-store"),
            ),
            body=orjson.dumps(document),
        )
