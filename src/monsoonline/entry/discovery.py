"""Answers callers who ask which entries to use.

Leaving and unready entries are omitted. An entry that stops serves on until every
answer that names it has expired (:mod:`monsoonline.entry.lifecycle`).
"""

import orjson

from monsoonline.types import Answer

__all__ = ["ENTRIES_PATH", "TOKEN_PATH", "Discovery"]

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
            return self._answer(self._entries())
        if request.path == TOKEN_PATH:
            return self._answer({"token": self._ledger.token()})
        return None

    def _entries(self):
        members = self._members()
        own = [m for m in members if m.incarnation == self._ledger.incarnation]
        return {
            "entries": [
                {"address": m.address, "failure_domain": m.failure_domain}
                for m in members
                if m.ready and m.state == "alive"
            ],
            "lifetime_ms": self._lifetime_ms,
            "token": self._ledger.token(),
            # A key made from the token starts only at this entry.
            "token_address": own[0].address if own else None,
        }

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
