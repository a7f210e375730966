"""Registries of named implementations, filled by decorators."""

__all__ = ["Registry"]


class Registry:
    """A mapping from names to implementations of one kind.

    :param kind: what the entries are, used in error messages

    Example::

        policies = Registry(kind="balancing policy")

        @policies.register("random")
        class RandomPolicy: ...
    """

    def __init__(self, *, kind):
        self._kind = kind
        self._entries = {}

    @property
    def names(self):
        """The registered names, sorted."""
        return tuple(sorted(self._entries))

    def register(self, name):
        """Return a decorator that registers its target as ``name``.

        :raises ValueError: when the name is taken
        """

        def decorate(implementation):
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is already registered")
            self._entries[name] = implementation
            return implementation

        return decorate

    def get(self, name):
        """Return the implementation registered as ``name``.

        :raises ValueError: when there is none; the message lists the valid names
        """
        try:
            return self._entries[name]
        except KeyError:
            valid = ", ".join(self.names)
            raise ValueError(
                f"{self._kind} {name!r} is not known; valid names: {valid}"
            ) from None
