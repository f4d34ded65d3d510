"""Actions that a member of the membership protocol decides on."""

from __future__ import annotations

import msgspec

from cactushall_core import addresses, identifiers
from cactushall_core.membership import completeness, messages, records, zone_states


class Send(msgspec.Struct, frozen=True):
    """Send a datagram to a member's gossip address."""

    address: addresses.Address
    datagram: bytes


class MemberChanged(msgspec.Struct, frozen=True):
    """The record of a member has changed."""

    record: records.Record


class FetchConfiguration(msgspec.Struct, frozen=True):
    """Fetch a newer service configuration from a member."""

    member: records.Member
    revision: identifiers.Revision


class NewestRevisionChanged(msgspec.Struct, frozen=True):
    """A member has told of a revision that is newer than all seen before."""

    revision: identifiers.Revision


class CompletenessChanged(msgspec.Struct, frozen=True):
    """The table of this member has become complete, or may not be complete any more.

    Attributes:
        evidence: Why it is complete, None where it may not be.
    """

    evidence: completeness.Evidence | None


class ZoneStatesReceived(msgspec.Struct, frozen=True):
    """A member has sent states of availability zones that differ from the own ones.

    Attributes:
        source: The address that they came from.
        states: The states.
    """

    source: addresses.Address
    states: zone_states.ZoneStates


class RequestTable(msgspec.Struct, frozen=True):
    """Ask the member at a control address for its table, over a connection.

    Its answer or the failure is handed to `handle_table_reply` or
    `handle_table_failure`.
    """

    address: addresses.Address
    request: messages.TableRequest


Action = (
    Send
    | MemberChanged
    | FetchConfiguration
    | NewestRevisionChanged
    | CompletenessChanged
    | ZoneStatesReceived
    | RequestTable
)
