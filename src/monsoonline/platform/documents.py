"""Conversion between documents in the platform's store and the data model."""

import json
import re

from monsoonline.core.checked_fields import CheckedFields
from monsoonline.core.crashes import MAX_RECORDED_INCIDENTS, CrashReport
from monsoonline.core.fleet import FleetMember
from monsoonline.core.model import (
    CallerLimits,
    Pool,
    PoolShare,
    ProbeBudget,
    Route,
    RouteMatch,
    SuccessDefinition,
    Tables,
    Tolerance,
)
from monsoonline.core.registrations import MAX_SLOTS, Registration, is_instance
from monsoonline.core.strict_json import parse_strict_json
from monsoonline.errors import Finding, FindingsError

__all__ = [
    "TablesDecoder",
    "decode_crashes",
    "decode_member",
    "decode_registration",
    "decode_tables",
    "encode_crashes",
    "encode_member",
]

CONFIGURATION_PLACE = "op/config"
CRASHES_PLACE = "entries/#requests"
EDITION = re.compile(r"[0-9a-fA-F]{1,16}")
# Value of a route's ``kind`` whose requests may run more than once.
IDEMPOTENT_KIND = "safe"
TARGET_STATES = ("ready", "draining")
# The platform has no departments; one owner is assigned to all rows.
DEPARTMENT = "operator"
DEFAULT_DEADLINE_MS = 60_000.0
# Hedges allowed for each idempotent request.
HEDGES = 1


def parse_json(content, place):
    """Return the decoded JSON value.

    :param content: the bytes as stored
    :param place: row named in the finding
    :raises FindingsError: if the bytes are not JSON
    """
    try:
        return parse_strict_json(content)
    except ValueError as error:
        finding = Finding(place=place, path=".", value=str(error), expected="JSON")
        raise FindingsError([finding]) from None


def decode_tables(content, revision):
    """Return the :class:`Tables` of the operator's configuration.

    :param content: the bytes as stored
    :param revision: the store's revision of the row
    :raises FindingsError: if the configuration is invalid, with all findings
    """
    return TablesDecoder().decode(content, revision)


class TablesDecoder:
    """Decodes successive configurations, of which few routes differ.

    Checking 2,000 routes takes longer than everything else that a new configuration
    needs, so routes whose document has not changed are taken from the last one.
    """

    def __init__(self):
        # Valid routes of the last configuration by name, with their documents.
        self._known = {}

    def decode(self, content, revision):
        """Return the :class:`Tables` of the operator's configuration.

        :param content: the bytes as stored
        :param revision: the store's revision of the row
        :raises FindingsError: if the configuration is invalid, with all findings
        """
        document = parse_json(content, CONFIGURATION_PLACE)
        fields = CheckedFields(document, place=CONFIGURATION_PLACE)
        pools = {}
        for row in fields.children("services"):
            pool = decode_pool(row)
            pools[pool.name] = pool
        routes, known = {}, {}
        for row in fields.children("routes"):
            route = self._find_known(row.document) or decode_route(row)
            routes[route.name] = route
            known[route.name] = (row.document, route)
        limits = decode_limits(fields.child("limits"))
        fields.finish()
        self._known = known
        return Tables(
            revision=revision,
            routes=routes,
            pools=pools,
            limits=limits,
            edition=decode_edition(document.get("version")),
        )

    def _find_known(self, document):
        """Return the route of an equal document of the last configuration, if any."""
        name = document.get("name")
        known = self._known.get(name) if isinstance(name, str) else None
        if known is None or known[0] != document:
            return None
        return known[1]


def decode_edition(version):
    """Return the number of a configuration's version.

    :param version: hexadecimal text
    :returns: ``None`` for anything else, which makes no configuration invalid
    """
    if isinstance(version, str) and EDITION.fullmatch(version):
        return int(version, 16)
    return None


def decode_pool(fields):
    """Return the :class:`Pool` of a service, without upstreams.

    The upstreams register themselves with the store.
    """
    return Pool(
        name=fields.string("name"),
        department=DEPARTMENT,
        upstreams=(),
        max_connections=fields.integer("max_connections", default=280, minimum=1),
        measuring=ProbeBudget(path=fields.string("health_path", default="/health")),
    )


def decode_route(fields):
    """Return the :class:`Route` of a route in the configuration."""
    latency_objective_ms = fields.duration_ms("latency_goal", default=None)
    deadline_ms = fields.duration_ms("timeout", default=DEFAULT_DEADLINE_MS)
    idempotent = fields.string("kind") == IDEMPOTENT_KIND
    # Maximum number of upstreams to which one request may be sent.
    max_attempts = fields.integer("max_attempts", default=1, minimum=1)
    shares = tuple(
        PoolShare(pool=row.string("service"), weight=row.number("weight"))
        for row in fields.children("traffic_split")
    )
    return Route(
        name=fields.string("name"),
        department=DEPARTMENT,
        pool="" if shares else fields.string("service"),
        shares=tuple(share for share in shares if share.weight > 0) or shares,
        match=RouteMatch(
            host=fields.string("hostname").lower(), path_prefix=fields.string("prefix")
        ),
        idempotent=idempotent,
        deadline_ms=deadline_ms,
        tolerance=Tolerance(
            retries=max_attempts - 1, hedges=HEDGES if idempotent else 0
        ),
        success=SuccessDefinition(latency_ms=latency_objective_ms or deadline_ms),
        priority=fields.integer("priority", default=0),
    )


def decode_limits(fields):
    """Return the :class:`CallerLimits` of the configuration."""
    defaults = CallerLimits()
    return CallerLimits(
        max_header_bytes=fields.integer(
            "max_header_bytes", default=defaults.max_header_bytes, minimum=1
        ),
        max_body_bytes=fields.integer(
            "max_body_bytes", default=defaults.max_body_bytes, minimum=1
        ),
        header_timeout_ms=fields.duration_ms(
            "header_timeout", default=defaults.header_timeout_ms
        ),
        idle_timeout_ms=fields.duration_ms(
            "idle_timeout", default=defaults.idle_timeout_ms
        ),
    )


def decode_registration(instance, content):
    """Return the :class:`Registration` of a target's row.

    :param instance: key of the row, which is the id of the target
    :param content: the bytes as stored
    :raises FindingsError: if the row is not a valid registration, such as a row of
        another writer
    """
    place = f"servers/{instance}"
    fields = CheckedFields(parse_json(content, place), place=place)
    if not is_instance(instance):
        fields.add_finding("id", "visible ASCII characters")
    info = fields.child("info")
    status = fields.child("status")
    # Rows without them are those of other writers.
    info.string("version")
    status.integer("sequence")
    registration = Registration(
        instance=instance,
        pool=info.string("service"),
        address=fields.address("address"),
        failure_domain=info.string("zone"),
        slots=info.integer("slots", minimum=1, maximum=MAX_SLOTS),
        leaving=status.choice("state", TARGET_STATES) == "draining",
        born_ms=fields.integer("born", default=0),
        # ``cold_left`` is the time for which the target remains slow after its start.
        cold=status.duration_ms("cold_left") > 0,
    )
    fields.finish()
    return registration


def encode_crashes(reports, now_ms):
    """Return the bytes of the row of requests that crash upstreams.

    :param reports: :class:`monsoonline.core.crashes.CrashReport` items
    :param now_ms: time on the clock of the store
    """
    requests = [
        {
            "fingerprint": report.fingerprint,
            "incidents": sorted(report.incidents)[:MAX_RECORDED_INCIDENTS],
            "cleared": sorted(report.cleared)[:MAX_RECORDED_INCIDENTS],
            "at": round(now_ms - report.age_ms),
        }
        for report in reports
    ]
    return json.dumps({"requests": requests}).encode()


def decode_crashes(content, now_ms):
    """Return the :class:`monsoonline.core.crashes.CrashReport` items of the row.

    :param content: the bytes as stored
    :param now_ms: time on the clock of the store; a later one in the row counts as now
    :raises FindingsError: if the row is invalid
    """
    fields = CheckedFields(parse_json(content, CRASHES_PLACE), place=CRASHES_PLACE)
    reports = tuple(
        CrashReport(
            fingerprint=request.string("fingerprint"),
            incidents=request.texts("incidents"),
            cleared=request.texts("cleared"),
            age_ms=max(0.0, now_ms - request.number("at", minimum=-float("inf"))),
        )
        for request in fields.children("requests")
    )
    fields.finish()
    return reports


def encode_member(member):
    """Return the bytes of an entry's row."""
    return json.dumps(
        {
            "zone": member.failure_domain,
            "callers": member.callers_address,
            "peers": member.peer_address,
        }
    ).encode()


def decode_member(name, content):
    """Return the :class:`FleetMember` of an entry's row.

    :param name: key of the row, which is the name of the entry
    :param content: the bytes as stored
    :raises FindingsError: if the row is invalid
    """
    place = f"entries/{name}"
    fields = CheckedFields(parse_json(content, place), place=place)
    member = FleetMember(
        name=name,
        failure_domain=fields.string("zone"),
        callers_address=fields.address("callers"),
        peer_address=fields.address("peers"),
    )
    fields.finish()
    return member
