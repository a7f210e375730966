"""Specifications of protocol parts as explicit-state models.

A specification is a set of steps over a ``NamedTuple`` state and a set of
invariants. Each rule that the protocol relies on is a named guard; breaking one
guard yields a mutation, in which the checker must find a counterexample.
"""

import dataclasses
import functools

import minicheck

from monsoonline.registry import Registry

__all__ = ["ObservedStep", "Specification", "Verdict", "specifications"]

MAX_STATES = 2_000_000
# A search for a counterexample starts with a small limit and raises it, since a
# counterexample found in a partial search is sound, and breadth-first search makes
# it a shortest one.
FIRST_LIMIT = 4_000
LIMIT_FACTOR = 8

specifications = Registry(kind="specification")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TraceStep:
    """One step of a counterexample.

    :param label: name of the step, ``None`` for the initial state
    :param state: values of the state's fields
    """

    label: str | None
    state: dict


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObservedStep:
    """One step of an implementation, as far as it was observed.

    :param label: name of the step
    :param fields: values that some fields of the state had after it
    """

    label: str
    fields: dict = dataclasses.field(default_factory=dict)

    def agrees(self, label, state):
        """Tell whether a step of the model may be this one."""
        return label == self.label and all(
            getattr(state, name) == value for name, value in self.fields.items()
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """Result of checking one invariant.

    :param specification: name of the specification
    :param invariant: name of the invariant
    :param mutation: name of the broken guard, ``None`` for the full protocol
    :param states: reachable states explored
    :param holds: ``True``, ``False``, or ``None`` when the search did not finish
    :param trace: shortest counterexample, empty where the invariant holds
    """

    specification: str
    invariant: str
    mutation: str | None
    states: int
    holds: bool | None
    trace: tuple[TraceStep, ...] = ()


class Guards:
    """Tells whether a guard is in force.

    :param broken: name of the one guard that is not, or ``None``
    """

    def __init__(self, *, broken=None):
        self._broken = broken

    def __call__(self, name):
        """Return whether the named guard is in force."""
        return name != self._broken


class Specification:
    """Steps, invariants and guards of one part of the protocol.

    :param name: name used on the command line
    :param initial: the initial state, a ``NamedTuple``
    :param bounds: what the model limits, for people
    """

    def __init__(self, *, name, initial, bounds):
        self._name = name
        self._initial = initial
        self._bounds = bounds
        self._steps = {}
        self._invariants = {}
        self._guards = {}

    @property
    def name(self):
        """Name of the specification."""
        return self._name

    @property
    def bounds(self):
        """What the model limits, for people."""
        return self._bounds

    @property
    def labels(self):
        """Names of the steps."""
        return frozenset(self._steps)

    @property
    def guards(self):
        """Guard names with what each demands."""
        return dict(self._guards)

    @property
    def invariants(self):
        """Names of the invariants."""
        return tuple(self._invariants)

    def guard(self, name, description):
        """Declare a guard; breaking it must violate an invariant."""
        self._guards[name] = description

    def step(self, label):
        """Return a decorator that adds a step.

        The decorated function takes a state and :class:`Guards` and yields the
        possible next states.
        """

        def decorate(function):
            self._steps[label] = function
            return function

        return decorate

    def invariant(self, name):
        """Return a decorator that adds a predicate over states."""

        def decorate(function):
            self._invariants[name] = function
            return function

        return decorate

    def successors(self, state, *, mutation=None):
        """Return all ``(label, next state)`` pairs of a state."""
        guards = Guards(broken=mutation)
        return [
            (label, following)
            for label, step in self._steps.items()
            for following in step(state, guards)
        ]

    def check(self, *, mutation=None, max_states=MAX_STATES):
        """Search the reachable states.

        :param mutation: guard to break, or ``None``
        :param max_states: states after which the search gives up
        :returns: one :class:`Verdict` for each invariant
        """
        result = minicheck.check_safety(self._model(mutation), max_states=max_states)
        return tuple(
            self._verdict(name, mutation, result["reachable_states"], found)
            for name, found in result["properties"].items()
        )

    def find_counterexample(self, mutation):
        """Break a guard and search for a state that violates an invariant.

        :param mutation: guard to break
        :returns: the :class:`Verdict` with the shortest trace found; its ``holds``
            is not ``False`` where the broken guard went unnoticed
        """
        limit = FIRST_LIMIT
        while True:
            verdicts = self.check(mutation=mutation, max_states=limit)
            violated = [v for v in verdicts if v.holds is False]
            if violated:
                return min(violated, key=lambda v: len(v.trace))
            if limit >= MAX_STATES or verdicts[0].holds is True:
                return verdicts[0]
            limit *= LIMIT_FACTOR

    def accepts(self, steps, *, observable=None):
        """Tell whether a sequence of observed steps is a behaviour of the model.

        Steps that cannot be observed may happen in between.

        :param steps: step names or :class:`ObservedStep`, in the order of observation
        :param observable: names of the steps that would have been observed, by
            default those of ``steps``
        """
        return self.accepted_length(steps, observable=observable) == len(steps)

    def accepted_length(self, steps, *, observable=None):
        """Return how many of the observed steps the model can follow.

        :param steps: as for :meth:`accepts`
        :param observable: as for :meth:`accepts`
        """
        observed = [
            ObservedStep(label=step) if isinstance(step, str) else step
            for step in steps
        ]
        if observable is None:
            observable = frozenset(step.label for step in observed)
        states = self._closure({self._initial}, observable)
        for index, step in enumerate(observed):
            states = {
                following
                for state in states
                for label, following in self.successors(state)
                if step.agrees(label, following)
            }
            if not states:
                return index
            states = self._closure(states, observable)
        return len(observed)

    def _closure(self, states, observable):
        reached = set(states)
        pending = list(states)
        while pending:
            for label, following in self.successors(pending.pop()):
                if label not in observable and following not in reached:
                    reached.add(following)
                    pending.append(following)
        return reached

    def _model(self, mutation):
        state_type = type(self._initial)

        def adapt(predicate):
            return lambda fields: predicate(state_type(**fields))

        return minicheck.Protocol(
            name=self._name,
            candidate=False,
            fields=self._initial._fields,
            initial=self._initial,
            transitions=functools.partial(self.successors, mutation=mutation),
            invariants={name: adapt(p) for name, p in self._invariants.items()},
        )

    def _verdict(self, invariant, mutation, states, found):
        trace = tuple(
            TraceStep(label=step["label"], state=step["state"])
            for step in found.get("counterexample") or ()
        )
        return Verdict(
            specification=self._name,
            invariant=invariant,
            mutation=mutation,
            states=states,
            holds=found["holds"],
            trace=trace,
        )
