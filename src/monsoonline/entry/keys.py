"""Idempotency keys of other incarnations: queries to their owners and handover."""

import dataclasses
import hashlib
import logging
import threading

from monsoonline.adapters.key_messages import (
    HandoverNotice,
    KeyQuery,
    MessageInvalid,
    decode_notice,
    decode_part,
    decode_part_reply,
    decode_query,
    decode_reply,
    encode_notice,
    encode_part,
    encode_part_reply,
    encode_query,
    encode_reply,
    split_export,
)
from monsoonline.core.ledger import (
    AdoptedRecords,
    KeyState,
    KeyStatus,
    expired_refusal,
    mismatch_refusal,
    parse_key,
    running_refusal,
)
from monsoonline.errors import MonsoonlineError, Refusal
from monsoonline.types import Outcome

__all__ = ["HandoverResult", "KeyDirectory"]

QUERY_KIND = "key-query"
HANDOVER_KIND = "handover"
QUERY_TIMEOUT_MS = 500.0
PART_TIMEOUT_MS = 2000.0
# Interval at which a resend queries a key that is running elsewhere. A query that
# waited at the owner would occupy one of the owner's peer tasks per resend.
RUNNING_POLL_MS = 100.0
MAX_HOLDERS = 2
# Bounds the stored handover notices; 370 entry replacements a day yield 3 notices
# within the retention time of records.
MAX_HANDOVER_NOTICES = 1024
# A member that did not reply is not queried again for this time. Otherwise resends of
# a paused owner's keys would block all worker threads for QUERY_TIMEOUT_MS each.
UNRESPONSIVE_BACKOFF_MS = 1000.0
UNDECIDED = KeyStatus(state=KeyState.UNDECIDED)

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HandoverResult:
    """Result of the handover of a stopping entry's records.

    :param holders: names of the members that hold all the records
    :param records: number of settled records, including adopted ones
    :param running: number of keys whose outcome was not known
    """

    holders: tuple[str, ...]
    records: int
    running: int


class KeyDirectory:
    """Lookup of the records of all idempotency keys.

    The ledger holds the keys of this incarnation. For a key of another incarnation the
    directory queries the owner, then the entries that hold the owner's records after
    a planned stop. If none replies, the outcome is unknown; an entry never runs a key
    of another entry.

    :param ledger: :class:`monsoonline.core.ledger.Ledger` of this process
    :param peers: :class:`monsoonline.ports.PeerNetwork`, ``None`` for a single entry
    :param clock: source of time
    :param metrics: :class:`monsoonline.metrics.Metrics`
    :param adopted: :class:`monsoonline.core.ledger.AdoptedRecords` of stopped
        incarnations, created if not given
    """

    def __init__(self, *, ledger, peers, clock, metrics, adopted=None):
        self._ledger = ledger
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._adopted = adopted or AdoptedRecords(clock=clock)
        self._holders = {}
        self._backoff_until = {}
        self._lock = threading.Lock()
        if peers is not None:
            peers.serve(QUERY_KIND, self._serve_query)
            peers.serve(HANDOVER_KIND, self._serve_part)
            peers.subscribe(HANDOVER_KIND, self._store_notice)

    @property
    def incarnation(self):
        """Identity of this process."""
        return self._ledger.incarnation

    def token(self):
        """Return the token from which callers derive their keys."""
        return self._ledger.token()

    def finish(self, key, response):
        """Record the response to a key that ran on this entry."""
        self._ledger.finish(key, response)

    def refuse(self, key, refusal):
        """Record that a key begun on this entry did not run and never will."""
        self._ledger.refuse(key, refusal)

    def begin(self, key, fingerprint, *, deadline):
        """Open the record of a key of this entry, or query that of another entry.

        :param key: ``<incarnation>-<window>.<random>``
        :param fingerprint: digest of the request
        :param deadline: clock time in ms until which to wait for a response
        :returns: ``None`` if the caller of this method must run the request, otherwise
            the recorded response
        :raises Refusal: in all other cases
        """
        owner = parse_key(key).incarnation
        if owner == self._ledger.incarnation:
            return self._ledger.begin(key, fingerprint, deadline=deadline)
        while True:
            status = self._query(owner, key, fingerprint, deadline)
            self._metrics.count("key_queries_total", state=status.state.value)
            remaining_ms = deadline - self._clock.now()
            if status.state is not KeyState.RUNNING or remaining_ms <= RUNNING_POLL_MS:
                return self._resolve(status)
            self._clock.sleep(RUNNING_POLL_MS)

    def hand_over(self):
        """Send the records to two other entries and announce who holds them.

        The ledger must be closed. Adopted records are handed over as well, so that
        they survive a rolling replacement of all entries.

        :returns: :class:`HandoverResult`
        """
        exports = (self._ledger.export(), *self._adopted.exports())
        parts = [part for export in exports for part in split_export(export)]
        holders = []
        for member in self._handover_candidates():
            if len(holders) < MAX_HOLDERS and self._send_parts(member, parts):
                holders.append(member)
        if holders:
            for export in exports:
                self._publish_notice(export.incarnation, export.incarnation, holders)
        result = HandoverResult(
            holders=tuple(member.name for member in holders),
            records=sum(export.record_count for export in exports),
            running=len(exports[0].running),
        )
        logger.info("records handed over", extra=dataclasses.asdict(result))
        return result

    def _resolve(self, status):
        if status.state is KeyState.FINISHED:
            return status.answer
        if status.state is KeyState.REFUSED:
            raise status.refusal.to_refusal()
        if status.state is KeyState.NEVER_STARTED:
            raise Refusal(
                "the key belongs to another entry, which has not started it",
                code="key-of-another-entry",
                outcome=Outcome.NOT_RUN,
                status=409,
            )
        if status.state is KeyState.MISMATCH:
            raise mismatch_refusal()
        if status.state is KeyState.EXPIRED:
            raise expired_refusal()
        if status.state is KeyState.RUNNING:
            raise running_refusal()
        raise Refusal(
            "neither the owner of this key nor a holder of its records replied",
            code="key-owner-unreachable",
            outcome=Outcome.UNKNOWN,
            status=409,
        )

    def _query(self, owner, key, fingerprint, deadline):
        status = self._adopted.query(key, fingerprint)
        if status is not None and status.state is not KeyState.UNDECIDED:
            return status
        if self._peers is None:
            return UNDECIDED
        payload = encode_query(KeyQuery(key=key, fingerprint=fingerprint))
        by_incarnation = {m.incarnation: m for m in self._peers.members()}
        with self._lock:
            holders = sorted(self._holders.get(owner, ()))
        # Takes the first decided status. Decided statuses never contradict each other,
        # since all of them originate from the owner's ledger.
        for incarnation in (owner, *holders):
            member = by_incarnation.get(incarnation)
            remaining_ms = deadline - self._clock.now()
            if member is None or incarnation == self.incarnation or remaining_ms <= 0:
                continue
            status = self._request_status(member, payload, remaining_ms)
            if status.state is not KeyState.UNDECIDED:
                return status
        return UNDECIDED

    def _request_status(self, member, payload, remaining_ms):
        if self._clock.now() < self._backoff_until.get(
            member.incarnation, float("-inf")
        ):
            return UNDECIDED
        timeout_ms = min(QUERY_TIMEOUT_MS, remaining_ms)
        try:
            reply = self._peers.request(
                member, QUERY_KIND, payload, timeout_ms=timeout_ms
            )
            return decode_reply(reply)
        except (MonsoonlineError, OSError):
            # A timeout shortened by the caller's deadline does not show that the member
            # is unresponsive.
            if timeout_ms == QUERY_TIMEOUT_MS:
                self._record_unresponsive(member.incarnation)
            return UNDECIDED

    def _record_unresponsive(self, incarnation):
        now = self._clock.now()
        with self._lock:
            ended = [i for i, end in self._backoff_until.items() if end <= now]
            for other in ended:
                del self._backoff_until[other]
            self._backoff_until[incarnation] = now + UNRESPONSIVE_BACKOFF_MS

    def _serve_query(self, _member_name, payload):
        query = decode_query(payload)
        if parse_key(query.key).incarnation == self._ledger.incarnation:
            status = self._ledger.query(query.key, query.fingerprint)
        else:
            status = self._adopted.query(query.key, query.fingerprint) or UNDECIDED
        return encode_reply(status)

    def _serve_part(self, member_name, payload):
        part = decode_part(payload)
        accepted = not self._ledger.closed and self._adopted.add_part(
            part.export, transfer=part.transfer, index=part.index, count=part.count
        )
        if accepted and part.index == part.count - 1:
            logger.info("records adopted", extra={"member": member_name})
            # The stopping entry may end before its own notice has reached all entries.
            incarnation = part.export.incarnation
            own = f"{incarnation}.{self.incarnation}"
            self._publish_notice(incarnation, own, ())
        return encode_part_reply(accepted)

    def _publish_notice(self, incarnation, item_key, holders):
        names = tuple(m.incarnation for m in holders) or (self.incarnation,)
        notice = HandoverNotice(incarnation=incarnation, holders=names)
        self._peers.publish(HANDOVER_KIND, item_key, encode_notice(notice))

    def _store_notice(self, item):
        try:
            notice = decode_notice(item.payload)
        except MessageInvalid:
            self._metrics.count("peer_messages_invalid_total", kind=HANDOVER_KIND)
            return
        with self._lock:
            # Dictionaries keep the order of arrival, so the first notice is the oldest.
            while len(self._holders) >= MAX_HANDOVER_NOTICES:
                del self._holders[next(iter(self._holders))]
            self._holders.setdefault(notice.incarnation, set()).update(notice.holders)

    def _handover_candidates(self):
        if self._peers is None:
            return []
        members = self._peers.members()
        own = [m for m in members if m.incarnation == self.incarnation]
        domains = {member.failure_domain for member in own}
        others = [
            m
            for m in members
            if m.incarnation != self.incarnation and m.state == "alive" and m.ready
        ]

        def preference(member):
            # Prefers another failure domain. The digest distributes the records of many
            # stopping entries over all other entries.
            text = f"{self.incarnation}{member.incarnation}".encode()
            same_domain = member.failure_domain in domains
            return same_domain, hashlib.blake2b(text, digest_size=8).digest()

        return sorted(others, key=preference)

    def _send_parts(self, member, parts):
        try:
            return all(
                decode_part_reply(
                    self._peers.request(
                        member,
                        HANDOVER_KIND,
                        encode_part(part),
                        timeout_ms=PART_TIMEOUT_MS,
                    )
                )
                for part in parts
            )
        except (MonsoonlineError, OSError):
            return False
