"""Discovery endpoint that lists the entries available to callers.

Leaving and unready entries are omitted. A stopping entry keeps serving until every
discovery response that lists it has expired (:mod:`monsoonline.entry.lifecycle`).
"""

import orjson

from monsoonline.types import Answer

__all__ = ["ENTRIES_PATH", "TOKEN_PATH", "Discovery"]

ENTRIES_PATH = "/.well-known/monsoonline/entries"
TOKEN_PATH = "/.well-known/monsoonline/token"


class Discovery:
    """Serves the list of ready entries and the tokens for idempotency keys.

    :param members: function that returns the known members
    :param ledger: :class:`monsoonline.core.ledger.Ledger` that issues the token
    :param lifetime_ms: how long callers may cache a response
    """

    def __init__(self, *, members, ledger, lifetime_ms):
        self._members = members
        self._ledger = ledger
        self._lifetime_ms = lifetime_ms

    def handle(self, request):
        """Return the response, or ``None`` for other paths."""
        if request.path == ENTRIES_PATH:
            return self._json_response(self._entries())
        if request.path == TOKEN_PATH:
            return self._json_response({"token": self._ledger.token()})
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
            # Only this entry runs requests whose key is derived from the token.
            "token_address": own[0].address if own else None,
        }

    @staticmethod
    def _json_response(document):
        return Answer(
            status=200,
            headers=(
                ("Content-Type", "application/json"),
                ("Cache-Control", "no-store"),
            ),
            body=orjson.dumps(document),
        )
