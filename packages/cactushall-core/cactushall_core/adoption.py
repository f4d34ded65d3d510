"""Adoption of service configurations: forward only, and only whole ones."""

from __future__ import annotations

import dataclasses

from cactushall_core import configuration, exceptions


@dataclasses.dataclass(frozen=True)
class Adopted:
    """A newer configuration is in force."""

    configuration: configuration.Configuration


@dataclasses.dataclass(frozen=True)
class Refused:
    """An offered configuration was not valid."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Unchanged:
    """An offered configuration was not newer."""


Outcome = Adopted | Refused | Unchanged


class Adopter:
    """Holds the configuration in force."""

    def __init__(self) -> None:
        """Start with no services."""
        self._current = configuration.EMPTY
        self._value = configuration.encode(configuration.EMPTY)

    @property
    def current(self) -> configuration.Configuration:
        """The configuration in force."""
        return self._current

    @property
    def value(self) -> bytes:
        """The configuration in force, encoded."""
        return self._value

    def offer(self, value: bytes, source: str) -> Outcome:
        """Take in an encoded configuration where it is newer and valid."""
        try:
            offered = configuration.decode(value, source)
        except exceptions.ConfigurationError as error:
            return Refused(str(error))
        if offered.revision <= self._current.revision:
            return Unchanged()
        self._current = offered
        self._value = value
        return Adopted(offered)
