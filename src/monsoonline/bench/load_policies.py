"""Decisions that load experiments compare with those in use.

Each policy changes one decision and keeps the others.
"""

from monsoonline.core.hedging import HedgeTimer
from monsoonline.core.load_shedding import ADMITTED_TIME_SHARE, LoadShedder
from monsoonline.core.overload import OverloadDetector
from monsoonline.core.placement import SlotAllowance, UpstreamSearch
from monsoonline.core.request_decisions import RequestDecisions
from monsoonline.registry import Registry

__all__ = ["PRESENT", "policies"]

PRESENT = "present"
# The shortest time that a Retry-After header in whole seconds can state.
FIXED_RETURN_MS = 1_000.0

# Functions that return :class:`RequestDecisions` for a random generator.
policies = Registry(kind="load policy")


@policies.register(PRESENT)
def present(generator):
    """The decisions that entries use."""
    return RequestDecisions(generator=generator)


class SendAll(LoadShedder):
    """Sends each request that can end before its caller leaves."""

    @staticmethod
    def admits(best_ms, *, time_left_ms, **_):
        """Tell whether a request can be answered in time, whatever the load."""
        return best_ms <= ADMITTED_TIME_SHARE * time_left_ms


@policies.register("send-all")
def send_all(generator):
    """Requests wait at upstreams, also in a crowd."""
    return RequestDecisions(generator=generator, load_shedder=SendAll)


class FixedReturn(LoadShedder):
    """Asks all refused callers to return after the same time."""

    def retry_after_ms(self, best_ms):
        """Return a time that does not depend on the load."""
        del best_ms
        return FIXED_RETURN_MS


@policies.register("fixed-return")
def fixed_return(generator):
    """Refused callers return after one second, together."""
    return RequestDecisions(generator=generator, load_shedder=FixedReturn)


class OneRound(UpstreamSearch):
    """Compares two upstreams by one report each."""

    def next_states(self, best):
        """Return two upstreams at first, none later."""
        return super().next_states(best) if best is None else []


@policies.register("one-round")
def one_round(generator):
    """The better of two upstreams is taken."""
    return RequestDecisions(generator=generator, search=OneRound)


class EqualRoom(OverloadDetector):
    """Gives each route all slots of each upstream."""

    def slot_allowance(self, *, urgent):
        """Return the same room for all routes."""
        del urgent
        return SlotAllowance()


@policies.register("equal-room")
def equal_room(generator):
    """No slot is kept for urgent routes, and the last slot counts as any other."""
    return RequestDecisions(generator=generator, overload_detector=EqualRoom)


class NoSecondAttempts(HedgeTimer):
    """Never starts a second attempt while the first is open."""

    def should_hedge(self, now, *, slowdown, overloaded):
        """Return false."""
        del now, slowdown, overloaded
        return False


@policies.register("no-second-attempts")
def no_second_attempts(generator):
    """A request waits for its first attempt, however slow."""
    return RequestDecisions(generator=generator, hedge_timer=NoSecondAttempts)


class EagerSecondAttempts(HedgeTimer):
    """Overtakes slow attempts in a crowd as at any other time."""

    def should_hedge(self, now, *, slowdown, overloaded):
        """Tell whether a second attempt would be worth its cost in an idle pool."""
        del overloaded
        return super().should_hedge(now, slowdown=slowdown, overloaded=False)


@policies.register("eager-second-attempts")
def eager_second_attempts(generator):
    """Second attempts take slots in a crowd as well."""
    return RequestDecisions(generator=generator, hedge_timer=EagerSecondAttempts)
