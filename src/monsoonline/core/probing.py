"""Planning of load probes: which upstreams this entry probes, and when.

Each upstream has one owner among the entries, the only one that spends its probe
budget. The owner is selected by rendezvous hashing over the members from which an
entry receives heartbeats. As entries may see different members, three rules prevent
two owners from probing at the same time:

- An entry probes only while it hears from more than half of the members that it has
  recently known, so at most one side of a partition probes.
- An entry that becomes the owner waits OWNERSHIP_DELAY_MS before its first probe. An
  entry that sees a higher-ranked owner stops immediately.
- An entry that was paused or has just started waits the full delay again.

Heartbeats are assumed to be relayed. Within OWNERSHIP_DELAY_MS, entries that can
reach each other directly or through others know each other, and an entry that has
lost contact detects it. Clocks of different entries are never compared.
"""

import hashlib

__all__ = ["PROBE_TIMEOUT_MS", "ProbePlanner"]

# Delay between becoming the owner of an upstream and the first probe.
OWNERSHIP_DELAY_MS = 10_000.0
# A longer interval between two calls means that the process was paused.
MAX_CALL_GAP_MS = 1_000.0
# A member that was not heard from for this time no longer counts for the majority.
MEMBER_LIFETIME_MS = 60_000.0
MIN_MEMBERS = 2
# Time that a probe is assumed to occupy a slot, for the budget's share of slots.
PROBE_SLOT_MS = 2.0
# Extends the interval so that network jitter does not move the probes of two budget
# windows into one.
SPACING_FACTOR = 1.1
BUDGET_WINDOW_MS = 1_000.0
# A probe without a response is abandoned after this time.
PROBE_TIMEOUT_MS = 250.0
# A slow upstream may still process an abandoned probe. Two windows separate a probe
# that is processed up to one window late from the next one.
MIN_UNANSWERED_INTERVAL_MS = 2 * BUDGET_WINDOW_MS


def rendezvous_weight(address, member):
    """Return the rendezvous weight of a member for an upstream."""
    text = f"{address}\0{member}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def probe_interval_ms(budget, *, slots):
    """Return the minimum interval between two probes of one upstream.

    :param budget: the :class:`monsoonline.core.model.ProbeBudget` of the pool
    :param slots: number of slots of the upstream
    :returns: the interval in ms, ``inf`` when the budget allows no probes
    """
    by_share = budget.slot_share * slots * BUDGET_WINDOW_MS / PROBE_SLOT_MS
    rate = min(budget.probes_per_second, by_share)
    if rate <= 0.0:
        return float("inf")
    if rate >= 1.0:
        rate = int(rate)
    return BUDGET_WINDOW_MS / rate * SPACING_FACTOR


class ProbePlanner:
    """Plans the probes of one pool by this entry.

    :param owner: name of this entry
    :param pool: the :class:`monsoonline.core.model.Pool`
    :param now: current time in ms
    """

    def __init__(self, *, owner, pool, now):
        self._owner = owner
        self._pool = pool
        self._last_heard = {}
        self._alive = frozenset()
        self._quorum_since = None
        self._last_call_at = now
        self._owned_since = {}
        self._next_probe_at = {}
        self._in_flight = set()

    @property
    def owned(self):
        """Addresses that this entry owns, including those still in the delay."""
        return frozenset(self._owned_since)

    def update(self, pool):
        """Apply a changed pool; new upstreams are probed after the ownership delay."""
        self._pool = pool
        addresses = {upstream.address for upstream in pool.upstreams}
        for by_address in (self._owned_since, self._next_probe_at):
            for address in set(by_address) - addresses:
                del by_address[address]
        self._in_flight &= addresses
        self._update_ownership(self._last_call_at)

    def observe_members(self, alive, now, *, left=()):
        """Update the members from which heartbeats arrive.

        :param alive: names of the entries heard from, directly or relayed
        :param now: current time in ms
        :param left: names of the entries that ended in a planned stop
        """
        self._check_call_gap(now)
        previous = self._alive
        self._alive = frozenset(alive) | {self._owner}
        for name in self._alive:
            self._last_heard[name] = now
        for name in left:
            self._last_heard.pop(name, None)
        for name in [
            n for n, t in self._last_heard.items() if now - t > MEMBER_LIFETIME_MS
        ]:
            del self._last_heard[name]
        count = len(self._alive)
        has_quorum = count >= MIN_MEMBERS and 2 * count > len(self._last_heard)
        if not has_quorum:
            self._reset_ownership()
            return
        if self._quorum_since is None:
            self._quorum_since = now
            previous = None
        if previous != self._alive:
            self._update_ownership(now)

    def due(self, now):
        """Return the upstreams to probe now and count them as probed.

        An upstream is not due again until :meth:`note_end` records the end of its
        probe. Must be called at intervals shorter than MAX_CALL_GAP_MS.

        :param now: current time in ms
        """
        self._check_call_gap(now)
        if self._quorum_since is None or now - self._quorum_since < OWNERSHIP_DELAY_MS:
            return ()
        chosen = []
        for upstream in self._pool.upstreams:
            since = self._owned_since.get(upstream.address)
            if since is None or now - since < OWNERSHIP_DELAY_MS:
                continue
            if upstream.address in self._in_flight:
                continue
            if now >= self._next_probe_at.get(upstream.address, 0.0):
                interval = probe_interval_ms(self._pool.measuring, slots=upstream.slots)
                self._next_probe_at[upstream.address] = now + interval
                if interval < float("inf"):
                    self._in_flight.add(upstream.address)
                    chosen.append(upstream)
        return tuple(chosen)

    def note_end(self, address, now, *, answered):
        """Record the end of a probe.

        The upstream processed an answered probe before ``now``. Counting the interval
        from ``now`` thus keeps the next probe out of the same budget window.

        :param address: address of the upstream
        :param now: current time in ms
        :param answered: whether the upstream responded before the probe was abandoned
        """
        self._in_flight.discard(address)
        min_interval = 0.0 if answered else MIN_UNANSWERED_INTERVAL_MS
        for upstream in self._pool.upstreams:
            if upstream.address == address:
                interval = probe_interval_ms(self._pool.measuring, slots=upstream.slots)
                self._next_probe_at[address] = now + max(interval, min_interval)

    def _check_call_gap(self, now):
        if now - self._last_call_at > MAX_CALL_GAP_MS:
            self._reset_ownership()
        self._last_call_at = now

    def _reset_ownership(self):
        self._quorum_since = None
        self._owned_since.clear()

    def _update_ownership(self, now):
        if self._quorum_since is None:
            return
        for upstream in self._pool.upstreams:
            address = upstream.address
            best = max(self._alive, key=lambda name: rendezvous_weight(address, name))
            if best == self._owner:
                self._owned_since.setdefault(address, now)
            else:
                self._owned_since.pop(address, None)
