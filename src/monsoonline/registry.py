"""Registry of named implementations that are registered by a decorator."""

__all__ = ["Registry"]


class Registry:
    """Mapping from names to implementations of one kind.

    :param kind: description of the implementations, used in error messages

    Example::

        policies = Registry(kind="balancing policy")

        @policies.register("random")
        class RandomPolicy: ...
    """

    def __init__(self, *, kind):
        self._kind = kind
        self._implementations = {}

    @property
    def names(self):
        """Sorted names of the registered implementations."""
        return tuple(sorted(self._implementations))

    def register(self, name):
        """Return a decorator that registers an implementation as ``name``.

        :raises ValueError: if the name is already registered
        """

        def decorate(implementation):
            if name in self._implementations:
                raise ValueError(f"{self._kind} {name!r} is already registered")
            self._implementations[name] = implementation
            return implementation

        return decorate

    def get(self, name):
        """Return the implementation registered as ``name``.

        :raises ValueError: if the name is not registered; the message lists valid names
        """
        try:
            return self._implementations[name]
        except KeyError:
            valid = ", ".join(self.names)
            raise ValueError(
                f"{self._kind} {name!r} is not known; valid names: {valid}"
            ) from None
