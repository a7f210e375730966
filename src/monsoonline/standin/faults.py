"""Switchable faults of the platform stand-in's services."""

import threading

import pydantic

__all__ = ["FaultDocument", "FaultSwitch"]


class FaultDocument(pydantic.BaseModel):
    """Faults of one service; the defaults are a service without faults.

    :param outage: refuse every request without effect
    :param slow_ms: delay before each request is processed
    :param lose_responses: number of following writes that take effect while their
        response is lost
    :param stale: how many revisions (or earlier VM lists) reads lag behind
    :param outage_after_write: begin an outage when the next write has taken effect
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
        """Record that a write has taken effect; may begin an outage."""
        with self._lock:
            if self._faults.outage_after_write:
                changes = {"outage": True, "outage_after_write": False}
                self._faults = self._faults.model_copy(update=changes)

    def loses_response(self):
        """Return whether the response of the present write is lost."""
        with self._lock:
            if not self._responses_to_lose:
                return False
            self._responses_to_lose -= 1
            return True
