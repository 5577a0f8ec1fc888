"""Messages between nodes: fields that can't be decoded count as missing, and fields that are not set are not sent."""

import pytest
from conftest import FakeClock, ScriptedStore

from hookwall.leadership.leadership import Leadership
from hookwall.protocol.peer_messages import (
    MessageKind,
    PeerMessage,
    PeerResponse,
    PeerStatus,
    decode_message,
    decode_response,
    encode_message,
)

HEARTBEAT = {"t": "ping", "n": "n1", "tok": 4, "sok": True, "pos": 3, "format": 2, "lowered": False}


def test_a_decoded_message_encodes_to_the_same_fields():
    message = decode_message(HEARTBEAT)
    assert message == PeerMessage(
        kind=MessageKind.HEARTBEAT,
        sender="n1",
        fencing_token=4,
        store_reachable=True,
        revision=3,
        storage_version=2,
        limits_lowered=False,
    )
    assert encode_message(message) == HEARTBEAT and message.sender_status() == PeerStatus(2, False)


@pytest.mark.parametrize("name", ["tok", "sok", "pos", "format", "lowered"])
@pytest.mark.parametrize("invalid_value", ["four", [], {"a": 1}, 1.5])
def test_a_field_that_cannot_be_decoded_counts_as_missing(name, invalid_value):
    expected = {key: value for key, value in HEARTBEAT.items() if key != name}
    assert encode_message(decode_message({**HEARTBEAT, name: invalid_value})) == expected


@pytest.mark.parametrize("change", [{"t": 3}, {"n": None}, {"t": None}])
def test_a_message_without_kind_or_sender_decodes_to_none(change):
    assert decode_message({**HEARTBEAT, **change}) is None and decode_message({}) is None


def test_a_message_of_unknown_kind_is_refused_with_the_status_of_this_node(clock: FakeClock, store: ScriptedStore):
    store.last_response_at = clock()
    leadership = Leadership("n0", 3, [], store, clock, None, lambda role: None)
    leadership.exchange.local_status = lambda: PeerStatus(4, False)
    answer = decode_response(leadership.handle_peer_message({"t": "sing", "n": "n1"}))
    assert (
        not answer.granted
        and answer.store_reachable
        and answer.highest_token == 0
        and answer.sender_status() == PeerStatus(4, False)
    )


def test_unknown_fields_are_ignored():
    assert decode_message({**HEARTBEAT, "later": [1]}) == decode_message(HEARTBEAT)


def test_an_empty_response_grants_nothing():
    assert decode_response({}) == PeerResponse() and not decode_response({"ok": "yes"}).granted
    assert encode_message(PeerResponse()) == {"ok": False, "sok": False}


def test_an_unreachable_store_is_reported_explicitly():
    """A peer that receives no such field keeps the value that it received last."""
    assert encode_message(PeerMessage(kind=MessageKind.HEARTBEAT, sender="n1", store_reachable=False))["sok"] is False
