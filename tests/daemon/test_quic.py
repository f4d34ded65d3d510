"""Tests of the QUIC connections, which touch private parts of the library."""

from __future__ import annotations

import pytest
from aioquic.quic import configuration, connection, events

from cactushall_core import connection_id, identifiers
from cactushall_daemon.agent import quic
from tests.core import builders
from tests.standins import caller as caller_standin
from tests.standins import site as site_standin

HOME = identifiers.HomeId(5)
KEYS = connection_id.make_service_keys(builders.RING, builders.SWAP_DESK)
CLIENT = ("192.0.2.1", 1000)
SERVER = ("192.0.2.2", 443)


class Pair:
    """A client and a server connection joined by hand."""

    def __init__(self, folder):
        site_standin._write_secrets(folder)
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
            while self.client.next_event() is not None:
                pass


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
