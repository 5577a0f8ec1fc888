"""A node's new process grants nothing before votes of its earlier processes are void."""

import asyncio

import pytest
from conftest import Clock, FakeState

from hookwall.leadership.roles import Role
from hookwall.leadership.state_machine import Leadership
from hookwall.leadership.vote_grant import QUORUM_LEASE_S
from hookwall.storage import keys
from hookwall.storage.errors import OutcomeUnknownError

MY_KEY = keys.VOTE_FENCE_PREFIX + "n0"


class Peer:
    """Grants every vote and lease, and adds what is given."""

    def __init__(self, name, **fields) -> None:
        self.name, self.fields, self.before_response = name, fields, lambda: None

    async def call(self, message, timeout=1.0):
        self.before_response()
        return {"ok": True, "sok": True, "top": 0, **self.fields}


@pytest.fixture
def lead(state: FakeState, clock: Clock) -> Leadership:
    """A node whose process began long ago, and has not written its key."""

    async def load():
        return None

    peers = [Peer("n1", fence=3), Peer("n2")]
    lead = Leadership("n0", 3, peers, state, clock, load, lambda role: None, fence_votes=True)
    state.epoch = 3
    state.keys[keys.VOTE_FENCE_PREFIX + "n1"] = ({"process": 1}, 3)
    clock.tick(QUORUM_LEASE_S * 2)
    lead.observe_leader_key({}, 0, 3)
    return lead


async def establish(fence, for_s=0.05):
    """Let the fence's loop run until the fence holds, or for a while."""
    running = asyncio.get_running_loop().create_task(fence.establish())
    async with asyncio.timeout(2.0):
        while not fence.version and for_s > 0:
            await asyncio.sleep(0.01)
            for_s -= 0.01
    running.cancel()


def test_nothing_is_granted_before_the_fence_key_is_written(lead: Leadership):
    vote, heartbeat = {"t": "vote", "n": "n1", "campaign": 1}, {"t": "ping", "n": "n1", "tok": 4}
    assert (
        not lead.handle_peer_message(vote)["ok"]
        and not lead.handle_peer_message(heartbeat)["ok"]
        and not lead.election.may_start()
    )
    asyncio.run(establish(lead.vote_fence))
    assert lead.election.may_start() and lead.handle_peer_message(vote)["ok"]


def test_a_node_without_the_store_grants_without_its_fence(lead: Leadership, state: FakeState):
    """Nobody could lead if nodes restarted in an outage."""
    state.mode = "down"
    asyncio.run(establish(lead.vote_fence))
    assert not lead.vote_fence.version
    response = lead.handle_peer_message({"t": "vote", "n": "n1", "campaign": 1})
    assert response["ok"] and response["fence"] == 0
    assert lead.handle_peer_message({"t": "ping", "n": "n1", "tok": 4})["ok"]


def test_a_vote_names_the_version_of_the_voter_s_fence_key(lead: Leadership, state: FakeState):
    asyncio.run(establish(lead.vote_fence))
    response = lead.handle_peer_message({"t": "vote", "n": "n1", "campaign": 1})
    assert response["ok"] and response["fence"] == state.keys[MY_KEY][1] > 0


@pytest.mark.parametrize("restarted", [None, "n0", "n1", "n2"])
def test_the_leader_key_is_written_only_if_no_voter_has_restarted(lead: Leadership, state: FakeState, restarted):
    """n2 runs an older program and names no key; n1's and the candidate's own are conditions."""

    async def hold_election():
        await establish(lead.vote_fence)
        if restarted is not None:
            state.epoch += 1
            state.keys[keys.VOTE_FENCE_PREFIX + restarted] = ({"process": 9}, state.epoch)
        await lead.election.run_once()

    asyncio.run(hold_election())
    assert (lead.role is Role.LEADER) == (restarted in (None, "n2"))
    assert (keys.LEADER_KEY in state.keys) == (restarted in (None, "n2"))


def test_the_leader_key_is_read_after_the_fence_and_before_anything_is_granted(lead: Leadership, state: FakeState):
    """A forgotten vote's write may have happened just before: its key is the one that counts."""
    write = state.commit

    async def commit_after_a_late_write(when, put=(), **more):
        if put[0][0] == MY_KEY:
            state.epoch += 1
            state.keys[keys.LEADER_KEY] = ({"node": "n2", "mode": "promise"}, state.epoch)
        return await write(when, put, **more)

    state.commit = commit_after_a_late_write
    asyncio.run(establish(lead.vote_fence))
    assert lead.leader_key.leader == "n2"
    assert not lead.handle_peer_message({"t": "ping", "n": "n1", "tok": lead.leader_key.version - 1})["ok"]
    assert lead.handle_peer_message({"t": "ping", "n": "n2", "tok": lead.leader_key.version})["ok"]


def test_a_leader_whose_key_is_gone_when_the_fence_holds_gets_no_lease_again(lead: Leadership, state: FakeState):
    """A forgotten vote's write may have replaced its key, and be gone again."""
    state.epoch = 40
    asyncio.run(establish(lead.vote_fence))
    assert not lead.handle_peer_message({"t": "ping", "n": "n1", "tok": 30})["ok"]
    assert lead.handle_peer_message({"t": "ping", "n": "n1", "tok": 42})["ok"]


def test_the_fence_key_is_written_only_over_the_version_that_was_read(lead: Leadership, state: FakeState):
    """A write of an earlier process that is carried out late must not replace the key of this one, or the reverse."""
    state.keys[MY_KEY] = ({"process": 7}, 2)
    seen: list[list] = []
    write = state.commit

    async def commit(when, put=(), **more):
        seen.append(when)
        return await write(when, put, **more)

    state.commit = commit
    asyncio.run(establish(lead.vote_fence))
    assert seen == [[(MY_KEY, 2)]] and state.keys[MY_KEY][0] == {"process": lead.vote_fence.incarnation}


def test_a_write_without_a_response_is_recognized_by_its_incarnation(lead: Leadership, state: FakeState):
    async def scenario():
        state.mode = "ghost"
        with pytest.raises(OutcomeUnknownError):
            await lead.vote_fence.write_key()
        state.mode = "ok"
        before = state.keys[MY_KEY]
        assert await lead.vote_fence.write_key() == before[1] and state.keys[MY_KEY] == before

    asyncio.run(scenario())
