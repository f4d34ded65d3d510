"""Adoption of configurations: only newer and valid ones take effect."""

from __future__ import annotations

import collections.abc
import typing

import msgspec

from cactushall_core import configuration, exceptions, identifiers


class Versioned(typing.Protocol):
    """A configuration with a revision."""

    @property
    def revision(self) -> identifiers.Revision:
        """Increases with each change."""


ConfigurationT = typing.TypeVar("ConfigurationT", bound=Versioned)


class Adopted(msgspec.Struct, typing.Generic[ConfigurationT], frozen=True):
    """The offered configuration is newer and now in force.

    Attributes:
        configuration: The configuration.
    """

    configuration: ConfigurationT


class Invalid(msgspec.Struct, frozen=True):
    """The offered configuration is invalid.

    Attributes:
        reason: What is wrong with it.
    """

    reason: str


class NotNewer(msgspec.Struct, frozen=True):
    """The offered configuration is not newer than the one in force."""


OfferResult = Adopted[ConfigurationT] | Invalid | NotNewer


class Adopter(typing.Generic[ConfigurationT]):
    """Holds the configuration in force and replaces it by newer ones."""

    def __init__(
        self,
        decode: collections.abc.Callable[[bytes, str], ConfigurationT],
        initial: ConfigurationT,
        value: bytes = b"",
    ) -> None:
        """Start with an initial configuration.

        Args:
            decode: Decodes and validates a value; raises ConfigurationError. The second
                argument names the source of the value for error messages.
            initial: The configuration in force until a newer one is offered.
            value: The initial configuration, encoded.
        """
        self._decode = decode
        self._current = initial
        self._value = value

    @property
    def current(self) -> ConfigurationT:
        """The configuration in force."""
        return self._current

    @property
    def value(self) -> bytes:
        """The configuration in force, encoded."""
        return self._value

    def offer(self, value: bytes, source: str) -> OfferResult[ConfigurationT]:
        """Adopt an encoded configuration if it is newer and valid.

        Args:
            value: The encoded configuration.
            source: Where it came from, for error messages.
        """
        try:
            offered = self._decode(value, source)
        except exceptions.ConfigurationError as error:
            return Invalid(str(error))
        if offered.revision <= self._current.revision:
            return NotNewer()
        self._current = offered
        self._value = value
        return Adopted(offered)


def service_adopter() -> Adopter[configuration.Configuration]:
    """Return an adopter of service configurations that starts without services."""
    empty = configuration.EMPTY
    return Adopter(configuration.decode, empty, configuration.encode(empty))
