"""Specifications of parts of the protocol as explicit-state models.

A specification is a set of steps over a ``NamedTuple`` state and a set of
invariants. Each rule that the protocol relies on is a named guard. Disabling one
guard yields a mutation, for which the model checker must find a counterexample.
"""

import dataclasses
import functools

import minicheck

from monsoonline.registry import Registry

__all__ = ["ObservedStep", "Specification", "Verdict", "specifications"]

MAX_STATES = 2_000_000
# A search for a counterexample starts with a low limit on the number of states and
# raises it step by step. A counterexample of a partial search is valid, and
# breadth-first search makes it a shortest one.
INITIAL_MAX_STATES = 4_000
MAX_STATES_FACTOR = 8

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
    """One observed step of the implementation.

    :param label: name of the step
    :param fields: observed values of fields of the state after the step; may be
        incomplete
    """

    label: str
    fields: dict = dataclasses.field(default_factory=dict)

    def matches(self, label, state):
        """Return whether a step of the model matches this observation."""
        return label == self.label and all(
            getattr(state, name) == value for name, value in self.fields.items()
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """Result of checking one invariant.

    :param specification: name of the specification
    :param invariant: name of the invariant
    :param mutation: name of the disabled guard, ``None`` for the full protocol
    :param states: number of reachable states explored
    :param holds: ``True``, ``False``, or ``None`` when the search reached its limit
    :param trace: shortest counterexample, empty unless ``holds`` is ``False``
    """

    specification: str
    invariant: str
    mutation: str | None
    states: int
    holds: bool | None
    trace: tuple[TraceStep, ...] = ()


class Guards:
    """The guards that are enabled in a search.

    :param disabled: name of the disabled guard, ``None`` to enable all guards
    """

    def __init__(self, *, disabled=None):
        self._disabled = disabled

    def __call__(self, name):
        """Return whether the named guard is enabled."""
        return name != self._disabled


class Specification:
    """Steps, invariants and guards of one part of the protocol.

    :param name: name used on the command line
    :param initial: the initial state, a ``NamedTuple``
    :param bounds: human-readable description of the size limits of the model
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
        """Human-readable description of the size limits of the model."""
        return self._bounds

    @property
    def labels(self):
        """Names of the steps."""
        return frozenset(self._steps)

    @property
    def guards(self):
        """Mapping from a guard name to the rule that it stands for."""
        return dict(self._guards)

    @property
    def invariants(self):
        """Names of the invariants."""
        return tuple(self._invariants)

    def guard(self, name, description):
        """Declare a guard; a model without it must violate an invariant."""
        self._guards[name] = description

    def step(self, label):
        """Return a decorator that registers a step.

        The decorated function takes a state and :class:`Guards` and yields the
        possible next states. It yields none when the step is not enabled.
        """

        def decorate(function):
            self._steps[label] = function
            return function

        return decorate

    def invariant(self, name):
        """Return a decorator that registers an invariant, a predicate of a state."""

        def decorate(function):
            self._invariants[name] = function
            return function

        return decorate

    def successors(self, state, *, mutation=None):
        """Return all ``(label, next state)`` pairs of a state."""
        guards = Guards(disabled=mutation)
        return [
            (label, next_state)
            for label, step in self._steps.items()
            for next_state in step(state, guards)
        ]

    def check(self, *, mutation=None, max_states=MAX_STATES):
        """Check all invariants in the reachable states.

        :param mutation: guard to disable, or ``None``
        :param max_states: number of states after which the search stops
        :returns: a tuple with one :class:`Verdict` per invariant
        """
        result = minicheck.check_safety(self._model(mutation), max_states=max_states)
        return tuple(
            self._verdict(name, mutation, result["reachable_states"], property_result)
            for name, property_result in result["properties"].items()
        )

    def find_counterexample(self, mutation):
        """Disable a guard and search for a state that violates an invariant.

        :param mutation: guard to disable
        :returns: the :class:`Verdict` with the shortest trace found, or one whose
            ``holds`` is not ``False`` when no counterexample was found
        """
        max_states = INITIAL_MAX_STATES
        while True:
            verdicts = self.check(mutation=mutation, max_states=max_states)
            violated = [v for v in verdicts if v.holds is False]
            if violated:
                return min(violated, key=lambda v: len(v.trace))
            if max_states >= MAX_STATES or verdicts[0].holds is True:
                return verdicts[0]
            max_states *= MAX_STATES_FACTOR

    def accepts(self, steps, *, observable=None):
        """Return whether a sequence of observed steps is a behaviour of the model.

        Unobservable steps may occur between the observed ones.

        :param steps: step names or :class:`ObservedStep`, in the order of observation
        :param observable: names of all steps that are observed whenever they occur; by
            default the names in ``steps``
        """
        return self.accepted_prefix_length(steps, observable=observable) == len(steps)

    def accepted_prefix_length(self, steps, *, observable=None):
        """Return the length of the longest prefix that is a behaviour of the model.

        :param steps: as for :meth:`accepts`
        :param observable: as for :meth:`accepts`
        """
        observed = [
            ObservedStep(label=step) if isinstance(step, str) else step
            for step in steps
        ]
        if observable is None:
            observable = frozenset(step.label for step in observed)
        states = self._unobservable_closure({self._initial}, observable)
        for index, step in enumerate(observed):
            states = {
                next_state
                for state in states
                for label, next_state in self.successors(state)
                if step.matches(label, next_state)
            }
            if not states:
                return index
            states = self._unobservable_closure(states, observable)
        return len(observed)

    def _unobservable_closure(self, states, observable):
        reached = set(states)
        pending = list(states)
        while pending:
            for label, next_state in self.successors(pending.pop()):
                if label not in observable and next_state not in reached:
                    reached.add(next_state)
                    pending.append(next_state)
        return reached

    def _model(self, mutation):
        state_type = type(self._initial)

        def over_fields(predicate):
            return lambda fields: predicate(state_type(**fields))

        return minicheck.Protocol(
            name=self._name,
            candidate=False,
            fields=self._initial._fields,
            initial=self._initial,
            transitions=functools.partial(self.successors, mutation=mutation),
            invariants={name: over_fields(p) for name, p in self._invariants.items()},
        )

    def _verdict(self, invariant, mutation, states, property_result):
        trace = tuple(
            TraceStep(label=step["label"], state=step["state"])
            for step in property_result.get("counterexample") or ()
        )
        return Verdict(
            specification=self._name,
            invariant=invariant,
            mutation=mutation,
            states=states,
            holds=property_result["holds"],
            trace=trace,
        )
