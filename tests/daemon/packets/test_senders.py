"""Tests that messages about flows tell which process has sent them."""

from __future__ import annotations

import asyncio

from cactushall_core import keys
from cactushall_core.flows import held_flows, messages
from tests.core.flows import builders
from tests.daemon import fleets

RING = (keys.make_key(bytes.fromhex(fleets.KEY)),)


class Inbox(asyncio.DatagramProtocol):
    """Keeps the messages that arrive."""

    def __init__(self):
        """Start empty."""
        self.received = []
        self._authenticator = messages.make_authenticator(RING)

    def datagram_received(self, data, addr):
        """Decode a message."""
        self.received.append(messages.decode(self._authenticator, data))


async def test_denials_and_notices_tell_the_process_that_sends_them(fleet):
    """Guards against a message of one process that counts for the next one there."""
    sender = await fleet.start_node(fleets.HOSTS[0], [])
    host = fleets.HOSTS[1]
    loop = asyncio.get_running_loop()
    transport, inbox = await loop.create_datagram_endpoint(
        Inbox, local_addr=(host, fleet.peer_port)
    )
    sent = [
        messages.OwnershipDenied(builders.FLOW),
        messages.OwnershipAnswer(denied=(builders.FLOW,)),
        *held_flows.make_notice([builders.FLOW]),
    ]
    for message in sent:
        sender.send_message(fleet.peer_address(host), message)
    await fleets.wait_until(lambda: len(inbox.received) == len(sent))
    member = sender.gossip.membership.member.id
    assert {message.sender for message in inbox.received} == {member}
    transport.close()
