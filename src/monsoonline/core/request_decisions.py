"""The classes that decide on requests; load experiments replace some of them."""

import dataclasses
import random

from monsoonline.core.hedging import HedgeTimer
from monsoonline.core.load_shedding import LoadShedder
from monsoonline.core.overload import OverloadDetector
from monsoonline.core.placement import UpstreamSearch

__all__ = ["RequestDecisions"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestDecisions:
    """The classes that one entry uses to decide on requests.

    :param search: chooses the upstreams to probe
    :param overload_detector: limits the slots that a request may use
    :param load_shedder: refuses requests and sets their retry delay
    :param hedge_timer: decides when a hedge starts
    :param generator: :class:`random.Random` for all random choices
    """

    search: type = UpstreamSearch
    overload_detector: type = OverloadDetector
    load_shedder: type = LoadShedder
    hedge_timer: type = HedgeTimer
    generator: random.Random = dataclasses.field(default_factory=random.Random)
