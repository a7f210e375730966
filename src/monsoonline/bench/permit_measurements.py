"""Capacity measurements of the permits of upstreams with a limit."""

import time

from monsoonline.adapters.fleet_codec import encode_datagram
from monsoonline.bench.capacity import measurements
from monsoonline.bench.capacity_measurements import least_time_ms, memory_of
from monsoonline.clock import ManualClock
from monsoonline.core.fleet import Fleet, FleetMember
from monsoonline.core.fleet_messages import (
    LimitAge,
    PermitReply,
    PermitRequest,
    PermitResult,
)
from monsoonline.core.header_names import HeaderNames
from monsoonline.core.registrations import Registration
from monsoonline.core.upstream_limits import LimitObservation
from monsoonline.core.upstream_view import UpstreamState
from monsoonline.entry.limit_reader import LimitReader
from monsoonline.entry.permits import UpstreamPermits
from monsoonline.metrics import Metrics

__all__ = []

# Failure domains of one region.
FAILURE_DOMAINS = 2
MEMBERS = 150
LIMIT = 5.0
REQUESTS = 2_000
# IPv4 and UDP headers.
DATAGRAM_OVERHEAD_BYTES = 28


def member(number):
    """Return the :class:`FleetMember` of a number."""
    host = f"10.0.{number // 250}.{number % 250 + 1}"
    return FleetMember(
        name=f"entry-{number}",
        failure_domain=f"domain-{number % FAILURE_DOMAINS}",
        callers_address=f"{host}:80",
        peer_address=f"{host}:90",
    )


def new_permits(members, states):
    """Return the permits of one entry in a fleet, and do not send anything."""
    clock = ManualClock()
    fleet = Fleet(own=member(0))
    for number in range(1, members):
        fleet.update(member(number), now=clock.now())
    return UpstreamPermits(
        clock=clock,
        fleet=fleet,
        find_state=states.get,
        limits=LimitReader(clock=clock, names=HeaderNames(), metrics=Metrics()),
        send=lambda recipient, message: None,
        metrics=Metrics(),
    )


def limited_states(upstreams):
    """Return the states of upstreams that name a limit, by instance."""
    states = {}
    for number in range(upstreams):
        instance = f"i-{number:010x}"
        state = UpstreamState(
            registration=Registration(
                instance=instance,
                pool="p",
                address=f"10.1.0.1:{number + 1}",
                failure_domain="domain-0",
                slots=4,
            )
        )
        state.limit.observe(LimitObservation(limit=LIMIT, sent_at=0.0, received_at=0.0))
        states[instance] = state
    return states


def request_for(instance):
    """Return a request for a permit of an upstream."""
    return PermitRequest(
        number=1 << 31,
        instance=instance,
        born_ms=0,
        rank=1,
        observed=LimitAge(limit=LIMIT, sent_age_ms=1_200.0, received_age_ms=1_100.0),
    )


@measurements.measures(
    "permit-issue-time", size="members", unit="us", points=(20, 60, 150, 300)
)
def permit_issue_time(members):
    """Return the time in which an owner handles a request for a permit."""
    states = limited_states(4 * members)
    permits = new_permits(members, states)
    requests = [request_for(instance) for instance in states]
    own = [r for r in requests if permits.issue(r).result is not PermitResult.NOT_OWNER]

    def issue_all():
        for number in range(REQUESTS):
            permits.issue(own[number % len(own)])

    return least_time_ms(issue_all) * 1e3 / REQUESTS


@measurements.measures(
    "permit-memory-by-limited-targets",
    size="targets",
    unit="bytes",
    points=(120, 480, 1_600, 4_800),
)
def permit_memory_by_limited_targets(targets):
    """Return the memory of an entry that has asked for permits of all upstreams."""
    states = limited_states(targets)

    def build():
        permits = new_permits(MEMBERS, states)
        for instance in states:
            permits.issue(request_for(instance))
        return permits

    return memory_of(build)


@measurements.measures(
    "permit-bytes-by-requests", size="calls", unit="bytes", points=(1, 10, 100)
)
def permit_bytes_by_requests(calls):
    """Return the bytes of requests for permits and of their replies."""
    observed = request_for("i-0000000000").observed
    total = 0
    started_ms = time.time_ns() // 1_000_000
    for number in range(calls):
        request = PermitRequest(
            number=(1 << 31) + number,
            instance=f"i-{number:010x}",
            born_ms=started_ms,
            rank=1,
            observed=observed,
        )
        reply = PermitReply(
            number=request.number,
            result=PermitResult.REFUSED,
            tokens=1.267,
            observed=observed,
        )
        messages = (request, reply)
        total += sum(
            len(encode_datagram(m)) + DATAGRAM_OVERHEAD_BYTES for m in messages
        )
    return total
