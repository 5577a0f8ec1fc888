"""Messages between nodes: what can't be read counts as missing, and fields that are not set are not sent."""

import pytest
from conftest import Clock, FakeState

from hookwall.leadership.state_machine import Leadership
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


def test_a_message_is_read_as_it_was_sent():
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
@pytest.mark.parametrize("nonsense", ["four", [], {"a": 1}, 1.5])
def test_a_field_that_can_t_be_read_counts_as_missing(name, nonsense):
    expected = {key: value for key, value in HEARTBEAT.items() if key != name}
    assert encode_message(decode_message({**HEARTBEAT, name: nonsense})) == expected


@pytest.mark.parametrize("change", [{"t": 3}, {"n": None}, {"t": None}])
def test_a_message_without_kind_or_sender_is_none(change):
    assert decode_message({**HEARTBEAT, **change}) is None and decode_message({}) is None


def test_a_kind_that_only_newer_programs_know_is_refused_with_the_status_of_this_node(clock: Clock, state: FakeState):
    state.last_response_at = clock()
    lead = Leadership("n0", 3, [], state, clock, None, lambda role: None)
    lead.exchange.local_status = lambda: PeerStatus(4, False)
    answer = decode_response(lead.handle_peer_message({"t": "sing", "n": "n1"}))
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


def test_an_unreachable_store_is_sent_too():
    """A peer that gets no such field goes on with the value that it got last."""
    assert encode_message(PeerMessage(kind=MessageKind.HEARTBEAT, sender="n1", store_reachable=False))["sok"] is False
