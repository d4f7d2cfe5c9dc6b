"""Registries that are filled by decorators.

A registry maps a name to the object registered under it, so that a new variant is
registered where it is defined instead of in a chain of conditions.
"""

from __future__ import annotations

__all__ = ["Registry"]

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from .errors import JacinthpathError

T = TypeVar("T")


class Registry(Generic[T]):
    """Named variants of one kind.

    :param purpose: what the variants are, for error messages.
    """

    def __init__(self, purpose: str) -> None:
        self.purpose = purpose
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its target under ``name``.

        :raises JacinthpathError: the name is already registered.
        """

        def decorate(target: T) -> T:
            if name in self._entries:
                raise JacinthpathError(
                    f"{self.purpose} {name!r} is already registered.",
                    "Choose another name.",
                )
            self._entries[name] = target
            return target

        return decorate

    def get(self, name: str) -> T:
        """Return the variant registered under ``name``.

        :raises JacinthpathError: the name is not registered.
        """
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(sorted(self._entries))
            raise JacinthpathError(
                f"Unknown {self.purpose} {name!r}.", f"Use one of: {known}."
            ) from None

    def __contains__(self, name: object) -> bool:
        return name in self._entries

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)
