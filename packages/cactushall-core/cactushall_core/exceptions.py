"""Exception hierarchy of all cactushall packages."""

from __future__ import annotations


class CactushallError(Exception):
    """Base class of the errors that cactushall defines."""


class ConfigurationError(CactushallError):
    """A settings file or a service configuration is invalid."""


class DecodeError(CactushallError):
    """Bytes received from the network do not form a valid message."""


class AuthenticationError(DecodeError):
    """The authentication tag of a message is invalid."""


class StoreError(CactushallError):
    """A call to the key-value store failed."""


class StoreUnavailableError(StoreError):
    """The key-value store did not answer, so the outcome of the call is unknown."""


class StoreBusyError(StoreUnavailableError):
    """The key-value store has refused a call without carrying it out."""
