"""Vote fence: a node's new process grants nothing before the votes of its earlier processes are void."""

import asyncio

import pytest
from conftest import FakeClock, ScriptedStore

from hookwall.leadership.leadership import Leadership
from hookwall.leadership.roles import Role
from hookwall.leadership.vote_grant import QUORUM_LEASE_S
from hookwall.storage import keys
from hookwall.storage.errors import OutcomeUnknownError

FENCE_KEY = keys.VOTE_FENCE_PREFIX + "n0"


class Peer:
    """Grants every vote and lease, and adds the given fields to its responses."""

    def __init__(self, name, **fields) -> None:
        self.name, self.fields, self.before_response = name, fields, lambda: None

    async def call(self, message, timeout=1.0):
        self.before_response()
        return {"ok": True, "sok": True, "top": 0, **self.fields}


@pytest.fixture
def leadership(store: ScriptedStore, clock: FakeClock) -> Leadership:
    """The leadership of a node that started long ago and has not written its fence key."""

    async def rebuild_state():
        return None

    peers = [Peer("n1", fence=3), Peer("n2")]
    leadership = Leadership("n0", 3, peers, store, clock, rebuild_state, lambda role: None, fence_votes=True)
    store.revision = 3
    store.keys[keys.VOTE_FENCE_PREFIX + "n1"] = ({"process": 1}, 3)
    clock.advance(QUORUM_LEASE_S * 2)
    leadership.observe_leader_key({}, 0, 3)
    return leadership


async def establish(fence, timeout_s=0.05):
    """Run the fence's loop until the fence is established, or for `timeout_s` seconds."""
    running = asyncio.get_running_loop().create_task(fence.establish())
    async with asyncio.timeout(2.0):
        while not fence.version and timeout_s > 0:
            await asyncio.sleep(0.01)
            timeout_s -= 0.01
    running.cancel()


def test_nothing_is_granted_before_the_fence_key_is_written(leadership: Leadership):
    vote, heartbeat = {"t": "vote", "n": "n1", "campaign": 1}, {"t": "ping", "n": "n1", "tok": 4}
    assert (
        not leadership.handle_peer_message(vote)["ok"]
        and not leadership.handle_peer_message(heartbeat)["ok"]
        and not leadership.election.may_start()
    )
    asyncio.run(establish(leadership.vote_fence))
    assert leadership.election.may_start() and leadership.handle_peer_message(vote)["ok"]


def test_a_node_that_can_not_reach_the_store_grants_without_its_fence(leadership: Leadership, store: ScriptedStore):
    """Otherwise no node could lead if nodes restarted during an outage."""
    store.mode = "down"
    asyncio.run(establish(leadership.vote_fence))
    assert not leadership.vote_fence.version
    response = leadership.handle_peer_message({"t": "vote", "n": "n1", "campaign": 1})
    assert response["ok"] and response["fence"] == 0
    assert leadership.handle_peer_message({"t": "ping", "n": "n1", "tok": 4})["ok"]


def test_a_vote_names_the_version_of_the_voter_s_fence_key(leadership: Leadership, store: ScriptedStore):
    asyncio.run(establish(leadership.vote_fence))
    response = leadership.handle_peer_message({"t": "vote", "n": "n1", "campaign": 1})
    assert response["ok"] and response["fence"] == store.keys[FENCE_KEY][1] > 0


@pytest.mark.parametrize("restarted", [None, "n0", "n1", "n2"])
def test_the_leader_key_is_written_only_if_no_voter_has_restarted(
    leadership: Leadership, store: ScriptedStore, restarted
):
    """n2 runs an older program and reports no fence key; those of n1 and of the candidate are preconditions."""

    async def hold_election():
        await establish(leadership.vote_fence)
        if restarted is not None:
            store.revision += 1
            store.keys[keys.VOTE_FENCE_PREFIX + restarted] = ({"process": 9}, store.revision)
        await leadership.election.run_once()

    asyncio.run(hold_election())
    assert (leadership.role is Role.LEADER) == (restarted in (None, "n2"))
    assert (keys.LEADER_KEY in store.keys) == (restarted in (None, "n2"))


def test_the_leader_key_is_read_after_the_fence_and_before_anything_is_granted(
    leadership: Leadership, store: ScriptedStore
):
    """A write that relies on a forgotten vote may be executed just before the fence; the key that it wrote is valid."""
    write = store.commit

    async def commit_after_a_late_write(when, put=(), **more):
        if put[0][0] == FENCE_KEY:
            store.revision += 1
            store.keys[keys.LEADER_KEY] = ({"node": "n2", "mode": "promise"}, store.revision)
        return await write(when, put, **more)

    store.commit = commit_after_a_late_write
    asyncio.run(establish(leadership.vote_fence))
    assert leadership.leader_key.leader == "n2"
    assert not leadership.handle_peer_message({"t": "ping", "n": "n1", "tok": leadership.leader_key.version - 1})["ok"]
    assert leadership.handle_peer_message({"t": "ping", "n": "n2", "tok": leadership.leader_key.version})["ok"]


def test_a_leader_whose_key_is_gone_when_the_fence_holds_gets_no_lease_again(
    leadership: Leadership, store: ScriptedStore
):
    """A write that relies on a forgotten vote may have replaced its key, and the new key may be gone again."""
    store.revision = 40
    asyncio.run(establish(leadership.vote_fence))
    assert not leadership.handle_peer_message({"t": "ping", "n": "n1", "tok": 30})["ok"]
    assert leadership.handle_peer_message({"t": "ping", "n": "n1", "tok": 42})["ok"]


def test_the_fence_key_is_written_only_over_the_version_that_was_read(leadership: Leadership, store: ScriptedStore):
    """A late write of an earlier process must not replace the key of this process, and vice versa."""
    store.keys[FENCE_KEY] = ({"process": 7}, 2)
    seen: list[list] = []
    write = store.commit

    async def commit(when, put=(), **more):
        seen.append(when)
        return await write(when, put, **more)

    store.commit = commit
    asyncio.run(establish(leadership.vote_fence))
    assert seen == [[(FENCE_KEY, 2)]] and store.keys[FENCE_KEY][0] == {"process": leadership.vote_fence.incarnation}


def test_a_write_without_a_response_is_recognized_by_its_incarnation(leadership: Leadership, store: ScriptedStore):
    async def scenario():
        store.mode = "response_lost"
        with pytest.raises(OutcomeUnknownError):
            await leadership.vote_fence.write_fence_key()
        store.mode = "ok"
        before = store.keys[FENCE_KEY]
        assert await leadership.vote_fence.write_fence_key() == before[1] and store.keys[FENCE_KEY] == before

    asyncio.run(scenario())
