"""Keys of other incarnations: queries to their owners, and handover at a stop."""

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
# A resend that waits for a key running elsewhere asks again after this time; waiting
# at the owner would hold one of its peer tasks per resend.
RUNNING_POLL_MS = 100.0
HOLDERS = 2
# Bounds the notices of handovers: 370 replacements a day give 3 within retention.
MAX_NOTICES = 1024
# After a member did not reply it is not asked for this time, so that resends of a
# paused owner's keys do not hold all worker threads for QUERY_TIMEOUT_MS each.
SILENCE_MS = 1000.0
UNDECIDED = KeyStatus(state=KeyState.UNDECIDED)

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HandoverResult:
    """What became of a stopping entry's records.

    :param holders: names of the members that hold all of them
    :param records: number of settled records, adopted ones included
    :param running: number of keys whose outcome was not known
    """

    holders: tuple[str, ...]
    records: int
    running: int


class KeyDirectory:
    """The records of all keys as the relay sees them.

    Own keys go to the ledger. For a key of another incarnation its owner is asked,
    then the entries that hold the owner's records after a planned stop. Without a
    reply the outcome is unknown; no entry ever runs a key of another one.

    :param ledger: :class:`monsoonline.core.ledger.Ledger` of this process
    :param peers: :class:`monsoonline.ports.PeerNetwork`, ``None`` for a single entry
    :param clock: source of time
    :param metrics: :class:`monsoonline.metrics.Metrics`
    :param adopted: records of stopped incarnations, created when not given
    """

    def __init__(self, *, ledger, peers, clock, metrics, adopted=None):
        self._ledger = ledger
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._adopted = adopted or AdoptedRecords(clock=clock)
        self._holders = {}
        self._silent_until = {}
        self._lock = threading.Lock()
        if peers is not None:
            peers.serve(QUERY_KIND, self._serve_query)
            peers.serve(HANDOVER_KIND, self._serve_part)
            peers.subscribe(HANDOVER_KIND, self._observe_notice)

    @property
    def incarnation(self):
        """Identity of this process."""
        return self._ledger.incarnation

    def token(self):
        """Return the token from which callers make their keys."""
        return self._ledger.token()

    def finish(self, key, answer):
        """Record the answer of a key that ran here."""
        self._ledger.finish(key, answer)

    def refuse(self, key, refusal):
        """Record that a key begun here certainly did not run, and never will."""
        self._ledger.refuse(key, refusal)

    def begin(self, key, fingerprint, *, deadline):
        """Open the record of an own key, or find out about another entry's.

        :param key: ``<incarnation>-<window>.<random>``
        :param fingerprint: digest of the request
        :param deadline: instant in ms until which an answer is awaited
        :returns: ``None`` when the caller of this method shall run the request,
            otherwise the recorded answer
        :raises Refusal: in all other cases
        """
        owner = parse_key(key).incarnation
        if owner == self._ledger.incarnation:
            return self._ledger.begin(key, fingerprint, deadline=deadline)
        while True:
            status = self._ask(owner, key, fingerprint, deadline)
            self._metrics.count("key_queries_total", state=status.state.value)
            remaining_ms = deadline - self._clock.now()
            if status.state is not KeyState.RUNNING or remaining_ms <= RUNNING_POLL_MS:
                return self._conclude(status)
            self._clock.sleep(RUNNING_POLL_MS)

    def hand_over(self):
        """Give the records to two other entries and announce where they are.

        The ledger must be closed. Adopted records are passed on as well, so that
        they outlive the replacement of all entries one after the other.

        :returns: :class:`HandoverResult`
        """
        exports = (self._ledger.export(), *self._adopted.exports())
        parts = [part for export in exports for part in split_export(export)]
        holders = []
        for member in self._candidates():
            if len(holders) < HOLDERS and self._send_parts(member, parts):
                holders.append(member)
        if holders:
            for export in exports:
                self._announce(export.incarnation, export.incarnation, holders)
        result = HandoverResult(
            holders=tuple(member.name for member in holders),
            records=sum(export.record_count for export in exports),
            running=len(exports[0].running),
        )
        logger.info("records handed over", extra=dataclasses.asdict(result))
        return result

    def _conclude(self, status):
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
            "neither the entry of this key nor a holder of its records replied",
            code="key-owner-unreachable",
            outcome=Outcome.UNKNOWN,
            status=409,
        )

    def _ask(self, owner, key, fingerprint, deadline):
        status = self._adopted.query(key, fingerprint)
        if status is not None and status.state is not KeyState.UNDECIDED:
            return status
        if self._peers is None:
            return UNDECIDED
        payload = encode_query(KeyQuery(key=key, fingerprint=fingerprint))
        by_incarnation = {m.incarnation: m for m in self._peers.members()}
        with self._lock:
            holders = sorted(self._holders.get(owner, ()))
        # Several members may answer; the first that knows decides, and all that
        # know agree, because only the owner's ledger is the source.
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
        if self._clock.now() < self._silent_until.get(
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
            # A caller's short deadline says nothing about the member.
            if timeout_ms == QUERY_TIMEOUT_MS:
                self._note_silence(member.incarnation)
            return UNDECIDED

    def _note_silence(self, incarnation):
        now = self._clock.now()
        with self._lock:
            ended = [i for i, end in self._silent_until.items() if end <= now]
            for other in ended:
                del self._silent_until[other]
            self._silent_until[incarnation] = now + SILENCE_MS

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
            # The stopping entry may be gone before its own notice has spread.
            incarnation = part.export.incarnation
            own = f"{incarnation}.{self.incarnation}"
            self._announce(incarnation, own, ())
        return encode_part_reply(accepted)

    def _announce(self, incarnation, item_key, holders):
        names = tuple(m.incarnation for m in holders) or (self.incarnation,)
        notice = HandoverNotice(incarnation=incarnation, holders=names)
        self._peers.publish(HANDOVER_KIND, item_key, encode_notice(notice))

    def _observe_notice(self, item):
        try:
            notice = decode_notice(item.payload)
        except MessageInvalid:
            self._metrics.count("peer_messages_invalid_total", kind=HANDOVER_KIND)
            return
        with self._lock:
            # Insertion order is the order of arrival, so the first is the oldest.
            while len(self._holders) >= MAX_NOTICES:
                del self._holders[next(iter(self._holders))]
            self._holders.setdefault(notice.incarnation, set()).update(notice.holders)

    def _candidates(self):
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
            # Another failure domain first; the digest spreads the records of many
            # stopping entries over all others.
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
