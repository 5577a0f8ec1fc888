"""Prints samples of what a program of format 1 stores and sends, made by its own code, as JSON.

    git worktree add /tmp/format_1 e723b3b
    python tools/golden_format_1.py /tmp/format_1 > tests/golden/format_1.json

The samples are test data: newer versions have to read them (`tests/test_compatibility.py`). Format 1 was in production
up to e723b3b; names of its modules are those of that version. `golden_format_2.py` does the same for the next format.
"""

import asyncio
import json

from golden_samples import RecordingPeer, import_from_checkout, print_samples

import_from_checkout()

import msgspec  # noqa: E402  (the checkout's modules come first)
from conftest import CATALOG, Clock, FakeState, description  # noqa: E402
from hookwall.cloud import Hire  # noqa: E402
from hookwall.keeper import Keeper  # noqa: E402
from hookwall.settings import State  # noqa: E402
from hookwall.store import Confirmer  # noqa: E402

from hookwall import store as st  # noqa: E402
from hookwall.jobs import Active, JobTable, UserApi  # noqa: E402
from hookwall.leadership import Leadership  # noqa: E402


class Limits:
    """The part of the settings that the user API needs."""

    teams = ()
    state = State(rps=100.0, write_rps=30.0, value_kb=16.0, txn_ops=12)


async def job_records() -> dict[str, object]:
    """Records as accepted, under way, done and cancelled."""
    clock, state = Clock(), FakeState(Limits.state)
    table = JobTable(clock)
    api = UserApi(Limits, table, state, Confirmer(state, None), wall=lambda: 1_700_000_000.25)
    api.catalog, api.impossible = CATALOG, lambda spec, catalog: None
    out: dict[str, object] = {}
    for n in (1, 2, 3, 4):
        more = {"hulls": ["g4"], "yard": "east", "dueS": 900.0} if n == 2 else {"pieces": 10, "loaners": True}
        assert (await api.submit(json.dumps(description(n, **more)).encode()))[0] == 201
    out["accepted"], out["accepted_all_fields"] = (state.keys[f"hookwall/job/run-00000{n}"][0] for n in (1, 2))
    job = table.jobs["run-000003"]
    for task, machine, tenure, attempt in ((3, "vm-000231", 1, 2), (4, "vm-000231", 1, 2), (7, "vm-000300", 4, 3)):
        job.active[task] = Active(task, machine, tenure, attempt, clock())
    for task in (0, 1, 2, 9):
        job.mark_done(task)
    job.next_attempt = 4
    out["under_way"] = job.record()
    state.keys[st.JOBS + job.ref] = (job.record(), state.epoch + 1)
    assert (await api.cancel(job.ref))[0] == 200
    out["cancelled_with_tasks"] = state.keys[st.JOBS + job.ref][0]
    assert (await api.cancel("run-000004"))[0] == 200
    out["cancelled"] = state.keys["hookwall/job/run-000004"][0]
    job = table.jobs["run-000001"]
    for task in range(10):
        job.mark_done(task)
    job.phase = "done"
    out["done"] = job.record()
    return out


async def leadership_samples() -> dict[str, object]:
    """The leader's key, and each kind of message with its answer."""
    clock, state = Clock(), FakeState(Limits.state)
    state.last_ok = clock() - 0.125

    async def load() -> None:
        return None

    peers = [RecordingPeer("n1"), RecordingPeer("n2")]
    lead = Leadership("n0", 3, peers, state, clock, load, lambda role: None)
    lead.say = lambda: {"pos": 17}
    lead.lend = lambda peer, want: [3.0, 1.5]
    lead.want = lambda: [2.0, 0.5]
    lead.saw_key({}, 0)
    await lead._campaign()
    await asyncio.sleep(0)
    await lead._ping(peers[0], {"warm": {"vm-000231": [["img-1", 5.0]]}, "rate": (0.5, 1.25)})
    await lead.resign("n1", "a sample")
    await asyncio.sleep(0)
    await lead._fit(["n1"])
    sent = {m["t"]: m for m in peers[0].sent}
    sent["cancelled"] = {"t": "cancelled", "n": "n0", "jobs": [["run-000003", 12]]}
    other = Leadership("n1", 3, [], state, clock, load, lambda role: None)
    other.want = lambda: [2.0, 0.5]
    other.reply = lambda ping: {"cancelled": [("run-000003", 12)], "complete": True}
    other.on_told = lambda message: {"knows": True, "leads": False}
    clock.tick(6.0)  # a process that has just begun grants nothing
    answers = {kind: other.handle(message) for kind, message in sent.items()}
    return {"leader_key": state.keys[st.LEADER][0], "messages": sent, "answers": answers}


async def keeper_key() -> object:
    """What a follower stores of the leases that it keeps."""
    clock, state = Clock(), FakeState(Limits.state)
    state.keys[st.LEADER] = ({"node": "n1", "incarnation": 1, "mode": "promise"}, 5)
    lead = Leadership("n0", 3, [], state, clock, None, lambda role: None)
    lead.saw_key(*state.keys[st.LEADER])
    keeper = Keeper("n0", lead, state, JobTable(clock), lambda: True, clock)
    keeper.wanted = {"vm-000231", "vm-000300"}
    await keeper._write()
    return state.keys[st.KEEP + "n0"][0]


async def main() -> None:
    print_samples(
        {
            "keys": {"jobs": st.JOBS, "leader": st.LEADER, "catalog": st.CATALOG, "keep": st.KEEP},
            "jobs": await job_records(),
            **await leadership_samples(),
            "keep": await keeper_key(),
            "catalog": msgspec.to_builtins(CATALOG),
            "hire": Hire("hw-41-3", (0, 0, True), 2).name,
        },
    )  # fmt: skip


asyncio.run(main())
