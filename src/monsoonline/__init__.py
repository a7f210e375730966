"""monsoonline: a load balancer for servers whose load shifts in milliseconds."""

from monsoonline.clock import Clock, ManualClock, SystemClock
from monsoonline.core.model import Pool, Route, Tables, Upstream
from monsoonline.entry.service import EntryService
from monsoonline.errors import Finding, FindingsError, MonsoonlineError, Refusal
from monsoonline.settings import EntrySettings, load_settings
from monsoonline.types import Answer, Outcome, Request

__all__ = [
    "Answer",
    "Clock",
    "EntryService",
    "EntrySettings",
    "Finding",
    "FindingsError",
    "ManualClock",
    "MonsoonlineError",
    "Outcome",
    "Pool",
    "Refusal",
    "Request",
    "Route",
    "SystemClock",
    "Tables",
    "Upstream",
    "load_settings",
]
