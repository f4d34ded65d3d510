"""The call that asks an entry where a new flow would go."""

from __future__ import annotations

import http
import ipaddress
import urllib.parse

import msgspec

from cactushall_core import addresses, decoding, exceptions, identifiers
from cactushall_core.flows import explanation, packets, routes
from cactushall_rpc import http as http_calls

PATH = "/where"
TIMEOUT_SECONDS = 3.0

_decoder = msgspec.json.Decoder(explanation.Explanation)


class WhereError(exceptions.CactushallError):
    """An entry did not explain where a flow would go."""


class Question(msgspec.Struct, frozen=True):
    """The flow that is asked about.

    Attributes:
        address: The address that the caller sends to.
        zone: Availability zone of the caller, None for that of the entry.
        caller: The caller's address, None for any; it decides between equal agents.
    """

    address: routes.ServiceAddress
    zone: identifiers.ZoneName | None
    caller: routes.ServiceAddress | None = None

    @property
    def flow_id(self) -> packets.FlowId:
        """The flow; that of an unspecified caller where none is given."""
        caller = self.caller or (0, 0)
        return packets.FlowId(*caller, *self.address)


def to_service_address(address: addresses.Address) -> routes.ServiceAddress:
    """Return an address as routes contain it.

    Raises:
        ValueError: It is not an IPv4 address.
    """
    return routes.ServiceAddress(int(ipaddress.IPv4Address(address.host)), address.port)


def decode_question(query: str) -> Question:
    """Decode the query of a call.

    Raises:
        ValueError: The address is missing, or one is not an IPv4 address with a port.
    """
    fields = dict(urllib.parse.parse_qsl(query))
    address = to_service_address(addresses.parse(fields.get("address", "")))
    zone = identifiers.ZoneName(fields["zone"]) if "zone" in fields else None
    caller = None
    if "caller" in fields:
        caller = to_service_address(addresses.parse(fields["caller"]))
    return Question(address, zone, caller)


def encode_answer(answer: explanation.Explanation) -> bytes:
    """Encode the body of the response."""
    return msgspec.json.encode(answer)


async def ask(
    entry: addresses.Address,
    address: addresses.Address,
    zone: identifiers.ZoneName | None,
    caller: addresses.Address | None = None,
) -> explanation.Explanation:
    """Ask an entry where a new flow would go.

    Args:
        entry: Peer address of the entry.
        address: The address that the caller sends to.
        zone: Availability zone of the caller, None for that of the entry.
        caller: The caller's address, None for any.

    Raises:
        WhereError: No process answers there, or it is not an entry.
    """
    fields = {"address": str(address)} | ({"zone": zone} if zone is not None else {})
    if caller is not None:
        fields["caller"] = str(caller)
    target = f"{PATH}?{urllib.parse.urlencode(fields)}"
    try:
        response = await http_calls.get(entry, target, TIMEOUT_SECONDS)
    except http_calls.RequestError as error:
        raise WhereError(f"entry {entry} does not answer: {error}") from error
    if response.status == http.HTTPStatus.NOT_FOUND:
        raise WhereError(f"{entry} is not the peer address of an entry")
    if response.status != http.HTTPStatus.OK:
        why = response.body.decode(errors="replace")
        raise WhereError(f"entry {entry} answers {response.status}: {why}")
    try:
        return decoding.decode(_decoder, response.body)
    except exceptions.DecodeError as error:
        raise WhereError(f"entry {entry}: unreadable answer: {error}") from error
