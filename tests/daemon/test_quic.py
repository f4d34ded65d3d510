"""Tests of the QUIC connections, which use private names of the library."""

from __future__ import annotations

import pytest
from aioquic.quic import configuration, connection, events
from msgspec import structs

from cactushall_core import (
    addresses,
    connection_id,
    exceptions,
    handoff,
    identifiers,
)
from cactushall_daemon.agent.quic import connection as quic
from cactushall_daemon.agent.quic import transfer
from tests.core import builders
from tests.standins import caller as caller_standin
from tests.standins import site as site_standin

HOME = identifiers.HomeId(5)
SECOND_HOME = identifiers.HomeId(6)
KEYS = connection_id.make_service_keys(builders.RING, builders.SWAP_DESK)
CLIENT = ("192.0.2.1", 1000)
SERVER = ("192.0.2.2", 443)


class ConnectionPair:
    """A client and a server connection whose datagrams the test exchanges."""

    def __init__(self, folder):
        site_standin.write_secrets(folder)
        settings = configuration.QuicConfiguration(
            alpn_protocols=["h3"],
            connection_id_length=connection_id.LENGTH_BYTES,
            is_client=False,
            max_stream_data=quic.STREAM_WINDOW_BYTES,
        )
        settings.load_cert_chain(folder / "certificate.pem", folder / "private_key.pem")
        self.now = 100.0
        client_settings = caller_standin.make_configuration()
        self.client = connection.QuicConnection(configuration=client_settings)
        self.client.connect(SERVER, self.now)
        self.server = quic.SteeredConnection(
            settings,
            self.client.original_destination_connection_id,
            quic.make_cid_factory(KEYS, HOME),
        )
        self.server_events = []
        self.client_events = []
        self.settings = settings
        self.used_cids = set()

    def exchange(self, rounds=8):
        """Deliver datagrams in both directions."""
        for _ in range(rounds):
            self.now += 0.05
            for datagram, _ in self.client.datagrams_to_send(self.now):
                if not datagram[0] & 0x80:
                    self.used_cids.add(datagram[1 : 1 + connection_id.LENGTH_BYTES])
                self.server.receive_datagram(datagram, CLIENT, self.now)
            while (event := self.server.next_event()) is not None:
                self.server_events.append(event)
                if isinstance(event, events.HandshakeCompleted):
                    self.server.release_handshake_state()
            for datagram, _ in self.server.datagrams_to_send(self.now):
                self.client.receive_datagram(datagram, SERVER, self.now)
            while (event := self.client.next_event()) is not None:
                self.client_events.append(event)

    def client_received(self, stream_id):
        """Return the bytes that the client received on a stream."""
        return b"".join(
            event.data
            for event in self.client_events
            if isinstance(event, events.StreamDataReceived)
            and event.stream_id == stream_id
        )


@pytest.fixture
def pair(tmp_path):
    connected_pair = ConnectionPair(tmp_path)
    connected_pair.exchange()
    return connected_pair


def test_every_connection_id_contains_its_home(pair):
    assert pair.server.is_handshake_confirmed
    assert len(pair.server.host_cids) == quic.MAX_CONNECTION_IDS
    for cid in (*pair.server.host_cids, *pair.used_cids):
        assert connection_id.decode(KEYS, cid) == HOME


def test_client_receives_the_reset_tokens(pair):
    peer = pair.client._peer_cid
    assert peer.stateless_reset_token == connection_id.reset_token(KEYS, peer.cid)


def test_replacement_ids_contain_the_home(pair):
    previous_ids = set(pair.server.host_cids)
    pair.client.change_connection_id()
    pair.exchange()
    current_ids = set(pair.server.host_cids)
    assert current_ids - previous_ids
    assert {connection_id.decode(KEYS, cid) for cid in current_ids} == {HOME}


def test_window_stops_growing_while_the_body_is_unread(pair):
    total = 4 * quic.STREAM_WINDOW_BYTES
    pair.client.send_stream_data(0, bytes(total), False)
    received = 0
    for _ in range(60):
        pair.exchange(1)
        data = [
            e for e in pair.server_events if isinstance(e, events.StreamDataReceived)
        ]
        received = sum(len(event.data) for event in data)
        pair.server.set_unread_bytes(0, received)
    assert 0 < received <= quic.STREAM_WINDOW_BYTES
    for _ in range(300):
        pair.server.set_unread_bytes(0, 0)
        pair.exchange(1)
    data = [e for e in pair.server_events if isinstance(e, events.StreamDataReceived)]
    assert sum(len(event.data) for event in data) == total


def test_window_does_not_grow_before_headers_are_read(pair):
    pair.client.send_stream_data(0, bytes(2 * quic.STREAM_WINDOW_BYTES), False)
    pair.exchange(100)
    data = [e for e in pair.server_events if isinstance(e, events.StreamDataReceived)]
    assert sum(len(e.data) for e in data) <= quic.STREAM_WINDOW_BYTES


def test_crypto_data_after_the_handshake_is_handled(pair):
    for payload in (b"\x01", b"\x01\x00\x00\x00"):
        stream = pair.client._crypto_streams[quic.tls.Epoch.ONE_RTT]
        stream.sender.write(payload)
        pair.exchange()
    assert not any(
        isinstance(e, events.ConnectionTerminated) and not e.error_code
        for e in pair.server_events
    )


def test_version_negotiation_is_addressed_to_the_client():
    datagram = b"\xc0\x0a\x0a\x0a\x0a\x08clientid\x03src".ljust(1200, b"\0")
    answer = quic.encode_version_negotiation(datagram)
    assert answer[0] & 0x80
    assert answer[1:5] == bytes(4)
    assert answer[5:9] == b"\x03src"


class MovedFlow:
    """A flow that has moved to a second server connection."""

    def __init__(self, pair):
        self.pair = pair
        self.record = handoff.decode(
            handoff.encode(
                handoff.FlowState(
                    handoff.VERSION,
                    b"move",
                    builders.SWAP_DESK,
                    *CLIENT,
                    transfer.export(pair.server),
                    None,
                    (),
                )
            )
        )
        self.former_server = pair.server
        pair.server = transfer.restore(
            self.record.quic,
            pair.settings,
            addresses.Address(*CLIENT),
            quic.make_cid_factory(KEYS, SECOND_HOME),
            pair.now,
        )


def received(pair, stream_id):
    """Return the bytes that the server received on a stream."""
    return b"".join(
        event.data
        for event in pair.server_events
        if isinstance(event, events.StreamDataReceived) and event.stream_id == stream_id
    )


def test_moved_flow_continues_in_both_directions(pair):
    pair.client.send_stream_data(0, b"before ", False)
    pair.exchange()
    pair.server.send_stream_data(0, b"answer ", False)
    pair.exchange()
    MovedFlow(pair)
    pair.client.send_stream_data(0, b"after", True)
    pair.server.send_stream_data(0, b"goes on", True)
    pair.exchange(20)
    assert received(pair, 0) == b"before after"
    assert pair.client_received(0) == b"answer goes on"


def test_data_lost_during_a_move_is_sent_again(pair):
    pair.server.send_stream_data(0 + 3, b"x" * 5000, True)
    pair.server.datagrams_to_send(pair.now)
    pair.client.send_stream_data(2, b"y" * 5000, True)
    pair.client.datagrams_to_send(pair.now)
    MovedFlow(pair)
    pair.exchange(40)
    assert received(pair, 2) == b"y" * 5000
    assert pair.client_received(3) == b"x" * 5000


def test_caller_switches_to_ids_of_the_new_home(pair):
    MovedFlow(pair)
    assert not pair.server.has_caller_switched
    pair.exchange(20)
    assert pair.server.has_caller_switched
    pair.used_cids.clear()
    pair.client.send_ping(1)
    pair.exchange()
    homes = {connection_id.decode(KEYS, cid) for cid in pair.used_cids}
    assert homes == {SECOND_HOME}


def test_flow_moves_after_a_key_update(pair):
    pair.client.request_key_update()
    pair.client.send_stream_data(0, b"one", False)
    pair.exchange()
    MovedFlow(pair)
    pair.client.send_stream_data(0, b"two", True)
    pair.exchange(20)
    assert received(pair, 0) == b"onetwo"


def test_flow_moves_many_times(pair):
    for number in range(5):
        pair.client.send_stream_data(0, bytes([number]), False)
        pair.server.send_stream_data(3, bytes([number]), False)
        pair.exchange()
        MovedFlow(pair)
        pair.exchange(20)
    assert received(pair, 0) == bytes(range(5))
    assert pair.client_received(3) == bytes(range(5))


def test_flow_continues_at_its_home_after_a_rejected_move(pair):
    moved_flow = MovedFlow(pair)
    pair.server = moved_flow.former_server
    transfer.skip_packet_numbers(pair.server)
    pair.client.send_stream_data(0, b"kept", True)
    pair.exchange(20)
    assert received(pair, 0) == b"kept"


def test_flow_does_not_move_during_its_handshake(tmp_path):
    unconnected_pair = ConnectionPair(tmp_path)
    with pytest.raises(transfer.NotMovableError):
        transfer.export(unconnected_pair.server)


def test_record_is_small(pair):
    size = len(handoff.encode(MovedFlow(pair).record))
    assert size < 10_000


def test_record_of_another_version_is_refused(pair):
    record = structs.replace(MovedFlow(pair).record, version=99)
    with pytest.raises(exceptions.DecodeError, match="version"):
        handoff.decode(handoff.encode(record))


def test_caller_keeps_one_home_where_two_agents_answer_its_first_packet(tmp_path):
    pair = ConnectionPair(tmp_path)
    other = quic.SteeredConnection(
        pair.settings,
        pair.client.original_destination_connection_id,
        quic.make_cid_factory(KEYS, SECOND_HOME),
    )
    first = pair.client.datagrams_to_send(pair.now)
    for datagram, _ in first:
        pair.server.receive_datagram(datagram, CLIENT, pair.now)
        other.receive_datagram(datagram, CLIENT, pair.now)
    answers = pair.server.datagrams_to_send(pair.now)
    answers += other.datagrams_to_send(pair.now)
    for datagram, _ in answers:
        pair.client.receive_datagram(datagram, SERVER, pair.now)
    pair.client.send_stream_data(0, b"whole", True)
    pair.exchange(20)
    assert received(pair, 0) == b"whole"
    homes = {connection_id.decode(KEYS, cid) for cid in pair.used_cids}
    assert homes == {HOME}
    assert not other.is_handshake_confirmed
