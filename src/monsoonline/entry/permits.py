"""Permits of an entry to send requests to upstreams that have named a limit."""

import collections
import itertools
import queue
import random
import threading

from monsoonline.core.fleet_messages import (
    LimitAge,
    OwnerCheck,
    PermitReply,
    PermitRequest,
    PermitResult,
    PermitReturn,
)
from monsoonline.core.permits import OwnerContact, PermitIssuer, owner_order

__all__ = ["UpstreamPermits"]

# Several round trips between failure domains; a request waits for no longer.
REPLY_TIMEOUT_MS = 30.0
# Time for which no permit of an upstream is requested after its owner did not reply.
UNANSWERED_PAUSE_MS = 100.0
# Age at which a permit is no longer used, for example after the process was paused.
PERMIT_LIFETIME_MS = 250.0
# Interval without a review of the buckets after which others may have taken over.
MAX_REVIEW_INTERVAL_MS = 1_500.0
# An owner of which nothing was heard for this time, from itself or others, may be
# replaced. Members of a failure domain hear of each other in three times 400 ms.
OWNER_TIMEOUT_MS = 1_200.0
# Entries in the order of owners; further ones take over only if all of these are gone.
OWNER_CANDIDATES = 4
# An owner that has not read an upstream's limit for this time reads it with a probe,
# so that the end of a limit is noticed even when it allows no request.
REFRESH_INTERVAL_MS = 1_000.0
FIRST_NUMBER_BITS = 32


class UpstreamPermits:
    """Requests permits from the owners of upstreams, and issues those of its own.

    :param clock: source of time
    :param fleet: :class:`monsoonline.core.fleet.Fleet`
    :param find_state: returns the :class:`monsoonline.core.upstream_view.UpstreamState`
        of an instance, ``None`` if it is not known
    :param limits: :class:`monsoonline.entry.limit_reader.LimitReader`
    :param send: sends a message to a :class:`monsoonline.core.fleet.FleetMember`
    :param metrics: counters
    """

    def __init__(self, *, clock, fleet, find_state, limits, send, metrics):
        self._clock = clock
        self._fleet = fleet
        self._find_state = find_state
        self._limits = limits
        self._send = send
        self._metrics = metrics
        self._issuer = PermitIssuer()
        self._contacts = collections.defaultdict(OwnerContact)
        self._lock = threading.Lock()
        # A late reply to an earlier process of this entry must not match.
        self._numbers = itertools.count(random.getrandbits(FIRST_NUMBER_BITS))
        self._replies = {}
        # Members, and the owners in order by upstream, which are valid for these only.
        self._orders = ({}, {})
        self._reviewed_at = clock.now()

    def acquire(self, state, rank):
        """Request a permit to send one request to a limited upstream.

        :param state: the upstream's state
        :param rank: number of more urgent priorities in the pool
        :returns: instant in ms until which the request may be sent, ``None`` without a
            permit
        """
        observation = state.limit.observation
        if observation.limit is None:
            return None
        asked_at = self._clock.now()
        request = PermitRequest(
            number=next(self._numbers),
            instance=state.registration.instance,
            born_ms=state.registration.born_ms,
            rank=rank,
            observed=LimitAge.of(observation, asked_at),
        )
        owner = self._owner(request.instance)
        own = owner is self._fleet.own
        reply = self.issue(request) if own else self._request_from(owner, request)
        now = self._clock.now()
        if reply is None:
            state.permits.blocked_until = now + UNANSWERED_PAUSE_MS
            self._metrics.count("permits_total", result="unanswered")
            return None
        self._limits.apply(state, reply.observed.at(now))
        if reply.result is PermitResult.NOT_OWNER:
            state.permits.blocked_until = now + UNANSWERED_PAUSE_MS
        else:
            state.permits.as_of = now
            state.permits.tokens = reply.tokens
        self._metrics.count("permits_total", result=reply.result.name.lower())
        if reply.result is not PermitResult.ISSUED:
            return None
        return asked_at + PERMIT_LIFETIME_MS

    def give_back(self, state):
        """Return an issued permit that is not used.

        A lost message costs one permit.
        """
        registration = state.registration
        message = PermitReturn(
            instance=registration.instance, born_ms=registration.born_ms
        )
        owner = self._owner(registration.instance)
        if owner is self._fleet.own:
            self.take_back(message)
        else:
            self._send(owner, message)
        self._metrics.count("permits_total", result="returned")

    def issue(self, request):
        """Return the reply to a request for a permit of an upstream of this entry.

        :param request: :class:`monsoonline.core.fleet_messages.PermitRequest`
        """
        now = self._clock.now()
        if now - self._reviewed_at > MAX_REVIEW_INTERVAL_MS:
            self.review()
        observed = request.observed
        key = (request.instance, request.born_ms)
        if self._owner(request.instance, confirm=True) is not self._fleet.own:
            with self._lock:
                self._issuer.forget(key)
            return PermitReply(
                number=request.number,
                result=PermitResult.NOT_OWNER,
                tokens=0.0,
                observed=observed,
            )
        limit = observed.limit
        state = self._find_state(request.instance)
        if state is not None and state.registration.born_ms == request.born_ms:
            self._limits.apply(state, observed.at(now))
            limit = state.limit.value
            observed = LimitAge.of(state.limit.observation, now)
        issued, tokens = False, 0.0
        with self._lock:
            if limit is None:
                self._issuer.forget(key)
            else:
                issued, tokens = self._issuer.issue(
                    key,
                    now,
                    limit=limit,
                    share=self._fleet.contact_share(now),
                    rank=request.rank,
                )
        return PermitReply(
            number=request.number,
            result=PermitResult.ISSUED if issued else PermitResult.REFUSED,
            tokens=tokens,
            observed=observed,
        )

    def take_back(self, message):
        """Make a returned permit available again.

        :param message: :class:`monsoonline.core.fleet_messages.PermitReturn`
        """
        with self._lock:
            self._issuer.take_back((message.instance, message.born_ms))

    def review(self):
        """Drop the buckets of upstreams that have, or may have had, another owner."""
        now = self._clock.now()
        paused = now - self._reviewed_at > MAX_REVIEW_INTERVAL_MS
        self._reviewed_at = now
        with self._lock:
            if paused:
                self._issuer.forget_all()
            upstreams = self._issuer.upstreams()
        for key in upstreams:
            instance, _ = key
            if self._owner(instance, confirm=True) is not self._fleet.own:
                with self._lock:
                    self._issuer.forget(key)

    def handle_reply(self, reply):
        """Pass a reply to the task that waits for it; late ones are dropped."""
        waiting = self._replies.get(reply.number)
        if waiting is not None:
            waiting.put(reply)

    def handle_check(self, check):
        """Handle the check of another entry, or its response to one.

        :param check: :class:`monsoonline.core.fleet_messages.OwnerCheck`
        :returns: the response to send, ``None`` if there is none
        """
        if not check.response:
            return OwnerCheck(sender=self._fleet.own.name, response=True)
        contact = self._contacts.get(check.sender)
        if contact is not None:
            contact.record_response(self._clock.now())
        return None

    def needs_refresh(self, state):
        """Return whether this entry should read an upstream's limit with a probe."""
        observation = state.limit.observation
        return (
            observation is not None
            and observation.limit is not None
            and self._clock.now() - observation.received_at >= REFRESH_INTERVAL_MS
            and self._owner(state.registration.instance) is self._fleet.own
        )

    def _request_from(self, owner, request):
        """Return the owner's reply, ``None`` if there is none in time."""
        waiting = self._replies[request.number] = queue.SimpleQueue()
        contact = self._contacts[owner.name]
        try:
            self._send(owner, request)
            reply = waiting.get(timeout=REPLY_TIMEOUT_MS / 1e3)
        except queue.Empty:
            contact.record_silence(self._clock.now())
            return None
        finally:
            del self._replies[request.number]
        contact.record_response(self._clock.now())
        return reply

    def _owner(self, instance, *, confirm=False):
        """Return the :class:`FleetMember` that issues permits of an upstream.

        :param confirm: whether this entry may act as the owner only if the entries
            before it in the order respond neither to it nor, as far as is known, to
            others
        """
        own, now = self._fleet.own, self._clock.now()
        candidates = self._candidates(instance)
        for member in candidates:
            if member.name == own.name:
                return own
            contact = self._contacts[member.name]
            if (confirm or contact.silent) and contact.start_check(now):
                self._send(member, OwnerCheck(sender=own.name))
            heard_of = self._fleet.age_ms(member.name, now) < OWNER_TIMEOUT_MS
            if not contact.silent or (confirm and heard_of):
                return member
        return candidates[0]

    def _candidates(self, instance):
        """Return the entries that may own an upstream, the owner first."""
        members = self._fleet.remaining or {self._fleet.own.name: self._fleet.own}
        # Other threads may replace the pair meanwhile, but never a part of it.
        known_members, orders = self._orders
        if members is not known_members:
            self._orders = (members, orders := {})
        order = orders.get(instance)
        if order is None:
            names = owner_order(instance, members, OWNER_CANDIDATES)
            order = orders[instance] = [members[name] for name in names]
        return order
