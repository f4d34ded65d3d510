"""Tests of the QUIC connections, which touch private parts of the library."""

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


class Pair:
    """A client and a server connection joined by hand."""

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
        self.seen = []
        self.client_seen = []
        self.settings = settings
        self.cids_used = set()

    def exchange(self, rounds=8):
        """Carry datagrams both ways."""
        for _ in range(rounds):
            self.now += 0.05
            for datagram, _ in self.client.datagrams_to_send(self.now):
                if not datagram[0] & 0x80:
                    self.cids_used.add(datagram[1 : 1 + connection_id.LENGTH_BYTES])
                self.server.receive_datagram(datagram, CLIENT, self.now)
            while (event := self.server.next_event()) is not None:
                self.seen.append(event)
                if isinstance(event, events.HandshakeCompleted):
                    self.server.release_handshake_state()
            for datagram, _ in self.server.datagrams_to_send(self.now):
                self.client.receive_datagram(datagram, SERVER, self.now)
            while (event := self.client.next_event()) is not None:
                self.client_seen.append(event)

    def client_received(self, stream_id):
        """Return the bytes that the client got on a stream."""
        return b"".join(
            event.data
            for event in self.client_seen
            if isinstance(event, events.StreamDataReceived)
            and event.stream_id == stream_id
        )


@pytest.fixture
def pair(tmp_path):
    made = Pair(tmp_path)
    made.exchange()
    return made


def test_every_id_in_use_carries_its_home(pair):
    assert pair.server.is_handshake_confirmed
    assert len(pair.server.host_cids) == quic.MAX_CONNECTION_IDS
    for cid in (*pair.server.host_cids, *pair.cids_used):
        assert connection_id.decode(KEYS, cid) == HOME


def test_client_learns_the_reset_tokens(pair):
    peer = pair.client._peer_cid
    assert peer.stateless_reset_token == connection_id.reset_token(KEYS, peer.cid)


def test_replaced_ids_carry_the_home(pair):
    before = set(pair.server.host_cids)
    pair.client.change_connection_id()
    pair.exchange()
    after = set(pair.server.host_cids)
    assert after - before
    assert {connection_id.decode(KEYS, cid) for cid in after} == {HOME}


def test_window_stops_growing_while_the_body_is_unread(pair):
    total = 4 * quic.STREAM_WINDOW_BYTES
    pair.client.send_stream_data(0, bytes(total), False)
    received = 0
    for _ in range(60):
        pair.exchange(1)
        data = [e for e in pair.seen if isinstance(e, events.StreamDataReceived)]
        received = sum(len(event.data) for event in data)
        pair.server.set_unread_bytes(0, received)
    assert 0 < received <= quic.STREAM_WINDOW_BYTES
    for _ in range(300):
        pair.server.set_unread_bytes(0, 0)
        pair.exchange(1)
    data = [e for e in pair.seen if isinstance(e, events.StreamDataReceived)]
    assert sum(len(event.data) for event in data) == total


def test_window_does_not_grow_before_headers_are_read(pair):
    pair.client.send_stream_data(0, bytes(2 * quic.STREAM_WINDOW_BYTES), False)
    pair.exchange(100)
    data = [e for e in pair.seen if isinstance(e, events.StreamDataReceived)]
    assert sum(len(e.data) for e in data) <= quic.STREAM_WINDOW_BYTES


def test_crypto_data_after_the_handshake_does_no_harm(pair):
    for payload in (b"\x01", b"\x01\x00\x00\x00"):
        stream = pair.client._crypto_streams[quic.tls.Epoch.ONE_RTT]
        stream.sender.write(payload)
        pair.exchange()
    assert not any(
        isinstance(e, events.ConnectionTerminated) and not e.error_code
        for e in pair.seen
    )


def test_version_negotiation_names_our_versions():
    datagram = b"\xc0\x0a\x0a\x0a\x0a\x08clientid\x03src".ljust(1200, b"\0")
    answer = quic.version_negotiation(datagram)
    assert answer[0] & 0x80
    assert answer[1:5] == bytes(4)
    assert answer[5:9] == b"\x03src"


class Move:
    """A flow that goes on at a second server."""

    def __init__(self, pair):
        self.pair = pair
        self.record = handoff.decode(
            handoff.encode(
                handoff.Record(
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
        self.former = pair.server
        pair.server = transfer.restore(
            self.record.quic,
            pair.settings,
            addresses.Address(*CLIENT),
            quic.make_cid_factory(KEYS, SECOND_HOME),
            pair.now,
        )


def received(pair, stream_id):
    """Return the bytes that the server got on a stream."""
    return b"".join(
        event.data
        for event in pair.seen
        if isinstance(event, events.StreamDataReceived) and event.stream_id == stream_id
    )


def test_moved_flow_goes_on_both_ways(pair):
    pair.client.send_stream_data(0, b"before ", False)
    pair.exchange()
    pair.server.send_stream_data(0, b"answer ", False)
    pair.exchange()
    Move(pair)
    pair.client.send_stream_data(0, b"after", True)
    pair.server.send_stream_data(0, b"goes on", True)
    pair.exchange(20)
    assert received(pair, 0) == b"before after"
    assert pair.client_received(0) == b"answer goes on"


def test_what_was_lost_around_the_move_is_sent_again(pair):
    pair.server.send_stream_data(0 + 3, b"x" * 5000, True)
    pair.server.datagrams_to_send(pair.now)
    pair.client.send_stream_data(2, b"y" * 5000, True)
    pair.client.datagrams_to_send(pair.now)
    Move(pair)
    pair.exchange(40)
    assert received(pair, 2) == b"y" * 5000
    assert pair.client_received(3) == b"x" * 5000


def test_caller_switches_to_ids_of_the_new_home(pair):
    Move(pair)
    assert not pair.server.is_caller_switched
    pair.exchange(20)
    assert pair.server.is_caller_switched
    pair.cids_used.clear()
    pair.client.send_ping(1)
    pair.exchange()
    homes = {connection_id.decode(KEYS, cid) for cid in pair.cids_used}
    assert homes == {SECOND_HOME}


def test_flow_moves_after_a_key_update(pair):
    pair.client.request_key_update()
    pair.client.send_stream_data(0, b"one", False)
    pair.exchange()
    Move(pair)
    pair.client.send_stream_data(0, b"two", True)
    pair.exchange(20)
    assert received(pair, 0) == b"onetwo"


def test_flow_moves_many_times(pair):
    for number in range(5):
        pair.client.send_stream_data(0, bytes([number]), False)
        pair.server.send_stream_data(3, bytes([number]), False)
        pair.exchange()
        Move(pair)
        pair.exchange(20)
    assert received(pair, 0) == bytes(range(5))
    assert pair.client_received(3) == bytes(range(5))


def test_flow_that_was_not_taken_goes_on_at_its_old_home(pair):
    move = Move(pair)
    pair.server = move.former
    transfer.skip_packet_numbers(pair.server)
    pair.client.send_stream_data(0, b"kept", True)
    pair.exchange(20)
    assert received(pair, 0) == b"kept"


def test_opening_flow_does_not_move(tmp_path):
    opening = Pair(tmp_path)
    with pytest.raises(transfer.NotMovableError):
        transfer.export(opening.server)


def test_record_is_small(pair):
    size = len(handoff.encode(Move(pair).record))
    assert size < 10_000


def test_record_of_another_version_is_refused(pair):
    record = structs.replace(Move(pair).record, version=99)
    with pytest.raises(exceptions.DecodeError, match="version"):
        handoff.decode(handoff.encode(record))


def test_caller_keeps_one_home_where_two_agents_answer_its_first_packet(tmp_path):
    pair = Pair(tmp_path)
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
    homes = {connection_id.decode(KEYS, cid) for cid in pair.cids_used}
    assert homes == {HOME}
    assert not other.is_handshake_confirmed
