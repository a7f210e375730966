"""Faults that can be injected into the platform stand-in's services."""

import threading

import pydantic

__all__ = ["FaultDocument", "FaultSwitch"]


class FaultDocument(pydantic.BaseModel):
    """Faults of one service; none by default.

    :param outage: reject every request without processing it
    :param slow_ms: delay in ms before each request is processed
    :param lose_responses: number of subsequent writes that take effect but whose
        response is lost
    :param stale: number of revisions (or VM lists) by which reads lag behind
    :param outage_after_write: start an outage once the next write has taken effect
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    outage: bool = False
    slow_ms: float = pydantic.Field(default=0.0, ge=0)
    lose_responses: int = pydantic.Field(default=0, ge=0)
    stale: int = pydantic.Field(default=0, ge=0)
    outage_after_write: bool = False


class FaultSwitch:
    """The faults in effect at one service."""

    def __init__(self):
        self._lock = threading.Lock()
        self._faults = FaultDocument()
        self._responses_to_lose = 0

    @property
    def faults(self):
        """The :class:`FaultDocument` in effect."""
        return self._faults

    def set(self, faults):
        """Replace the faults in effect."""
        with self._lock:
            self._faults = faults
            self._responses_to_lose = faults.lose_responses

    def record_write(self):
        """Record that a write has taken effect, which may start an outage."""
        with self._lock:
            if self._faults.outage_after_write:
                changes = {"outage": True, "outage_after_write": False}
                self._faults = self._faults.model_copy(update=changes)

    def take_lost_response(self):
        """Return whether to drop the response of the current write, and count it."""
        with self._lock:
            if not self._responses_to_lose:
                return False
            self._responses_to_lose -= 1
            return True
