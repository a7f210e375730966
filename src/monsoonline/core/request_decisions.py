"""Which classes decide on a request; experiments compare others with them."""

import dataclasses
import random

from monsoonline.core.crowding import Crowding
from monsoonline.core.hedging import HedgeTimer
from monsoonline.core.placement import Search
from monsoonline.core.turning_away import TurningAway

__all__ = ["RequestDecisions"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestDecisions:
    """The decisions on the requests of one entry.

    :param search: which upstreams are asked
    :param crowding: how many slots a request may use
    :param turning_away: which requests are refused, and when they shall return
    :param hedge_timer: when a second attempt starts
    :param generator: :class:`random.Random` of all choices
    """

    search: type = Search
    crowding: type = Crowding
    turning_away: type = TurningAway
    hedge_timer: type = HedgeTimer
    generator: random.Random = dataclasses.field(default_factory=random.Random)
