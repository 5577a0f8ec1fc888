"""Prints samples of what a program of format 2 stores and sends, made by its own code, as JSON.

    git worktree add /tmp/format_2 0dce834
    python tools/golden_format_2.py /tmp/format_2 > tests/golden/format_2.json

The samples are test data: newer versions have to read them (`tests/test_compatibility.py`). Format 2 added dependent
jobs and packed records; names of its modules are those of 0dce834.
"""

import asyncio
import hashlib
import json

from golden_samples import RecordingPeer, import_from_checkout, print_samples

import_from_checkout()

import msgspec  # noqa: E402  (the checkout's modules come first)
from conftest import CATALOG, Clock, FakeState, description  # noqa: E402
from hookwall.confirmer import Confirmer  # noqa: E402
from hookwall.formats import FormatGate  # noqa: E402
from hookwall.job import Active  # noqa: E402
from hookwall.keeper import Keeper  # noqa: E402
from hookwall.settings import NextState, State  # noqa: E402
from hookwall.user_api import UserApi  # noqa: E402

from hookwall import formats, keys, records  # noqa: E402
from hookwall.jobs import JobTable  # noqa: E402
from hookwall.leadership import Leadership  # noqa: E402

LOWERED = State(rps=100.0, write_rps=30.0, value_kb=16.0, txn_ops=12, next=NextState(value_kb=1.0, txn_ops=4))


class Limits:
    """The part of the settings that the user API needs."""

    teams = ()
    state = LOWERED


async def job_records() -> dict[str, object]:
    """Records as accepted, under way, packed, done and cancelled, and the parts that some of them name."""
    clock, state = Clock(), FakeState(LOWERED)
    table = JobTable(clock)
    api = UserApi(Limits, table, state, Confirmer(state, None), wall=lambda: 1_700_000_000.25)
    api.catalog, api.impossible, api.new_formats = CATALOG, lambda spec, catalog: None, lambda: True
    await state.commit([], [(keys.JOBS + "run-000009", {"phase": "done", "n": 1, "next": 2, "on": []})])
    await api.refresh(keys.JOBS + "run-000009")
    jobs: dict[str, object] = {}
    accepted = {
        "accepted": {},
        "accepted_all_fields": {"hulls": ["g4"], "yard": "east", "dueS": 900.0},
        "under_way": {"pieces": 10, "loaners": True},
        "dependent": {"awaits": ["run-000009"], "dueS": 60.0},
        "packed": {"pieces": 2000},
        "in_parts": {"pieces": 2000, "hulls": [hashlib.sha256(str(n).encode()).hexdigest() for n in range(60)]},
        "cancelled": {},
        "cancelled_with_tasks": {"pieces": 4},
        "done": {},
    }
    for n, more in enumerate(accepted.values(), 1):
        status, body, _ = await api.submit(json.dumps(description(n if n != 9 else 10, **more)).encode())
        assert status == 201, body
    for n, name in enumerate(accepted, 1):
        ref = f"run-{n if n != 9 else 10:06d}"
        job = table.jobs[ref]
        if name in ("under_way", "packed", "in_parts", "cancelled_with_tasks"):
            for task in range(1, job.tasks, 3 if job.tasks < 100 else 40):
                job.active[task] = Active(task, f"vm-{231 + task:06d}", 1 + task % 2, 2, clock())
            job.mark_done(0)
            job.next_attempt = 4
        if name == "done":
            job.mark_done(0)
            job.phase, job.ended = "done", 1_700_000_100.5
        encoded = records.encode(ref, job.record(), state.value_limit)
        await state.commit([], [*encoded.parts.items(), (keys.JOBS + ref, encoded.value)])
        await api.refresh(keys.JOBS + ref)
        if name.startswith("cancelled"):
            assert (await api.cancel(ref))[0] == 200
        jobs[name] = state.keys[keys.JOBS + ref][0]
    return {"jobs": jobs, "parts": {k: v for k, (v, _) in state.keys.items() if k.startswith(keys.PARTS)}}


async def leadership_samples() -> dict[str, object]:
    """The leader's key, and each kind of message with its answer."""
    clock, state = Clock(), FakeState(Limits.state)
    state.last_ok = clock() - 0.125

    async def load() -> None:
        return None

    peers = [RecordingPeer("n1"), RecordingPeer("n2")]
    lead = Leadership("n0", 3, peers, state, clock, load, lambda role: None)
    lead.about = lambda: {"format": formats.CURRENT, "lowered": False}
    lead.say = lambda: {"pos": 17}
    lead.lend = lambda peer, want: [3.0, 1.5]
    lead.want = lambda: [2.0, 0.5]
    lead.saw_key({}, 0)
    await lead.campaign.run()
    await asyncio.sleep(0)
    hint = {"warm": {"vm-000231": [["img-1", 5.0]]}, "rate": (0.5, 1.25), "first": True}
    await lead.ping(peers[0], hint)
    await lead.handover.resign("n1", "a sample")
    await asyncio.sleep(0)
    await lead.handover._fit(["n1"])
    sent = {m["t"]: m for m in peers[0].sent}
    sent["cancelled"] = {"t": "cancelled", "n": "n0", "jobs": [["run-000003", 12]]}
    sent["unwritten"] = {"t": "release", "n": "n0", "unwritten": 5}
    other = Leadership("n1", 3, [], state, clock, load, lambda role: None)
    other.about = lambda: {"format": formats.CURRENT, "lowered": False}
    other.want = lambda: [2.0, 0.5]
    other.reply = lambda ping: {"cancelled": [("run-000003", 12)], "complete": True}
    other.on_told = lambda message: {"knows": True, "leads": False}
    clock.tick(6.0)  # a process that has just begun grants nothing
    answers = {kind: other.handle(message) for kind, message in sent.items()}
    return {"leader_key": state.keys[keys.LEADER][0], "messages": sent, "answers": answers}


async def keeper_keys() -> dict[str, object]:
    """What a follower stores of the leases that it keeps, in its plain and in its packed form."""
    out: dict[str, object] = {}
    for name, machines in (("plain", 2), ("packed", 200)):
        clock, state = Clock(), FakeState(Limits.state)
        state.keys[keys.LEADER] = ({"node": "n1", "incarnation": 1, "mode": "promise"}, 5)
        lead = Leadership("n0", 3, [], state, clock, None, lambda role: None)
        lead.saw_key(*state.keys[keys.LEADER])
        keeper = Keeper("n0", lead, state, JobTable(clock), lambda: True, clock)
        keeper.new_formats = lambda: True
        keeper.wanted = {f"vm-{n:06d}" for n in range(231, 231 + machines)}
        await keeper._write()
        out[name] = state.keys[keys.KEEP + "n0"][0]
    return out


async def marker() -> object:
    """What a node stores of the format that its program knows."""
    state = FakeState(Limits.state)
    await FormatGate("n0", ["n1"], state)._mark("n0")
    return state.keys[keys.FORMAT + "n0"][0]


async def main() -> None:
    print_samples(
        {
            "keys": {
                "jobs": keys.JOBS, "leader": keys.LEADER, "catalog": keys.CATALOG, "keep": keys.KEEP,
                "format": keys.FORMAT, "parts": keys.PARTS,
            },
            **await job_records(),
            **await leadership_samples(),
            "keep": await keeper_keys(),
            "marker": await marker(),
            "catalog": msgspec.to_builtins(CATALOG),
        },
    )  # fmt: skip


asyncio.run(main())
