"""The leader's drain controller, step by step: the order of its writes and their preconditions."""

import asyncio

import pytest
from conftest import FakeClock, ScriptedStore
from harness.drain_simulation import TEAMS, operations
from harness.leading_node import leading, report
from test_drain_ledger import PERIOD_S

from hookwall.config.platform import PlatformParameters
from hookwall.drains import records
from hookwall.drains.records import DisruptionPage, DrainPhase, EmptyMachinePolicy, StepPhase, StepRecord
from hookwall.drains.request import DrainRequest, Selection, aborted_record, new_drain_record
from hookwall.node.node import Node
from hookwall.scheduling.image_affinity import STARVATION_S
from hookwall.storage import keys
from hookwall.storage.entries import KeyValueEntry
from hookwall.storage.errors import OutcomeUnknownError, PreconditionFailedError, RequestRejectedError
from hookwall.workers.machine import MachinePhase

MACHINES = 4
FIRST, SECOND = "vm-000000", "vm-000001"
DRAIN = keys.DRAIN_PREFIX + "kernel"


class Leader:
    """A leader with `MACHINES` machines that run one job each, as many free machines, and a key-value store."""

    def __init__(self, params, clock: FakeClock, store: ScriptedStore) -> None:
        self.clock, self.store = clock, store
        store.revision = 20
        store.keys[keys.LEADER_KEY] = ({}, 5)
        self.node = self._node(params)
        self.written: list[str] = []  # the keys that were written, in order
        self.before_write: dict[str, object] = {}  # by key, a function that is called just before the key is written
        commit = store.commit

        async def recording_commit(when, put=(), session_lease=None, timeout=1.5, delete=()):
            for key, _ in put:
                change = self.before_write.pop(key, None)
                if change is not None:
                    change()
            result = await commit(when, put, session_lease, timeout, delete)
            self.written.extend(key for key, _ in put)
            return result

        store.commit = recording_commit

    def _node(self, params) -> Node:
        node = leading(params, self.clock, MACHINES)
        self._enable_drains(node)
        for number in range(MACHINES, 2 * MACHINES):
            node.heartbeat_router.respond(
                report(number, 1).replace(b'"phase":"running"', b'"phase":"exited","cause":"done"')
            )
        self.clock.advance(1.0)
        for number in range(2 * MACHINES):
            node.heartbeat_router.respond(report(number, 2) if number < MACHINES else _idle_heartbeat(number))
        return node

    def _enable_drains(self, node: Node) -> None:
        from hookwall.drains.controller import DrainController

        operations_settings = operations(grey=1)
        node.drains.controller = DrainController(
            operations_settings.drain, node.settings.platform, node.fleet, node.scheduler, self.store, node.leadership,
            node.key_order, self.clock, self.clock, drains_allowed=lambda: True,
            is_confirmed_deleted=node.scale_out.is_confirmed_deleted,
        )  # fmt: skip
        node.fleet.set_catalog(_catalog())

    def request_drain(self, *machines: str, batch: int = 2, **terms) -> None:
        """Store a drain, as an operator does."""
        request = DrainRequest(selection=Selection(machines=machines), batch_size=batch, **terms)
        self.put(DRAIN, records.encode(new_drain_record(request, machines, self.clock())))

    def put(self, key: str, value: object) -> None:
        """Write a key, and apply it as this node's watch does."""
        self.store.revision += 1
        self.store.keys[key] = (value, self.store.revision)
        self.node.drains.controller.table.apply_key(key, value, self.store.revision)

    def tick(self, seconds: float = 1.0) -> None:
        self.clock.advance(seconds)
        asyncio.run(self.node.drains.controller.advance_all())

    def stopping_jobs(self) -> set[str]:
        return {
            ref
            for ref, job in self.node.job_table.jobs.items()
            if any(allocation.stop_grace_s for allocation in job.allocations.values())
        }

    def step(self, machine: str) -> StepRecord | None:
        stored = self.store.keys.get(keys.CORDON_PREFIX + machine)
        return None if stored is None else records.decode(stored[0], StepRecord)

    def disruption_count(self) -> int:
        return self.node.drains.controller.ledger.disruption_count("grey")


def _idle_heartbeat(number: int) -> bytes:
    head = report(number, 2)
    return head[: head.index(b'"pieces"')] + b'"pieces":[]}'


def _catalog():
    from conftest import CATALOG

    return CATALOG


@pytest.fixture
def leader(params: PlatformParameters, clock: FakeClock, store: ScriptedStore) -> Leader:
    assert [team.name for team in TEAMS] == ["red", "blue"]
    return Leader(params, clock, store)


def test_the_ledger_is_stored_before_the_step_and_the_step_before_the_stop(leader: Leader):
    leader.request_drain(FIRST)
    observed: list[tuple[bool, bool]] = []
    leader.tick()
    assert leader.step(FIRST).phase is StepPhase.CORDONED and not leader.stopping_jobs()
    step = keys.CORDON_PREFIX + FIRST
    leader.before_write[step] = lambda: observed.append(
        (keys.DISRUPTION_PREFIX + "0" in leader.store.keys, bool(leader.stopping_jobs()))
    )
    leader.tick()
    assert observed == [(True, False)] and leader.stopping_jobs() == {"run-000000"}
    page = records.decode(leader.store.keys[keys.DISRUPTION_PREFIX + "0"][0], DisruptionPage)
    assert [entry.job_id for entry in page.entries] == ["run-000000"]
    assert leader.step(FIRST).phase is StepPhase.DRAINING and leader.step(FIRST).disrupted_jobs == 1


def test_a_new_leader_loads_the_disruptions_that_were_charged(
    leader: Leader, params: PlatformParameters, clock: FakeClock, store: ScriptedStore
):
    leader.request_drain(FIRST, SECOND)
    for _ in range(3):
        leader.tick()
    assert leader.stopping_jobs() == {"run-000000"} and leader.disruption_count() == 1
    node = leader._node(params)
    entries = [KeyValueEntry(key, *stored) for key, stored in store.keys.items()]
    for entry in entries:
        node.drains.controller.table.apply_key(*entry)
    node.drains.controller.begin_leadership(entries)
    assert node.drains.controller.ledger.disruption_count("grey") == 1 and node.fleet.cordoned == {FIRST, SECOND}
    leader.node = node
    for _ in range(5):
        leader.tick()
        assert not leader.stopping_jobs(), "whether the stop was sent is not known, so the budget stays spent"
    leader.tick(PERIOD_S)
    assert len(leader.stopping_jobs()) == 1


def test_a_leader_with_an_old_fencing_token_changes_nothing(leader: Leader, store: ScriptedStore):
    leader.request_drain(FIRST)
    leader.tick()
    store.keys[keys.LEADER_KEY] = ({}, 6)
    before = dict(store.keys)
    with pytest.raises(PreconditionFailedError):
        leader.tick()
    assert store.keys == before and not leader.stopping_jobs()


@pytest.mark.parametrize("at_step", [1, 2])
def test_an_abort_just_before_a_step_prevents_the_step(leader: Leader, at_step):
    """The operator's write reaches the store just before the leader's, and the leader has not observed it."""
    leader.request_drain(FIRST)
    if at_step == 2:
        leader.tick()

    def abort() -> None:
        record = leader.node.drains.controller.table.drains["kernel"].record
        leader.store.revision += 1
        leader.store.keys[DRAIN] = (records.encode(aborted_record(record, leader.clock())), leader.store.revision)

    leader.before_write[keys.CORDON_PREFIX + FIRST] = abort
    with pytest.raises(PreconditionFailedError) as conflict:
        leader.tick()
    assert not leader.stopping_jobs()
    asyncio.run(leader.node.drains.controller.writer.reread(conflict.value.keys))
    leader.tick()
    assert leader.step(FIRST) is None and not leader.stopping_jobs() and not leader.node.fleet.cordoned
    assert leader.node.drains.controller.table.drains["kernel"].record.phase is DrainPhase.ABORTED


def test_a_step_of_a_newer_version_is_not_overwritten(leader: Leader):
    leader.request_drain(FIRST)
    other = StepRecord(drain="other", phase=StepPhase.CORDONED, cordoned_at=1.0, changed_at=1.0)

    def cordon() -> None:
        leader.store.revision += 1
        leader.store.keys[keys.CORDON_PREFIX + FIRST] = (records.encode(other), leader.store.revision)

    leader.before_write[keys.CORDON_PREFIX + FIRST] = cordon
    with pytest.raises(PreconditionFailedError):
        leader.tick()
    assert leader.step(FIRST) == other


def test_an_eviction_that_can_t_be_stored_is_retried_and_charged_once(leader: Leader, store: ScriptedStore):
    leader.request_drain(FIRST)
    leader.tick()

    def fail() -> None:
        raise RequestRejectedError("503")

    for _ in range(3):
        leader.before_write[keys.CORDON_PREFIX + FIRST] = fail
        with pytest.raises(RequestRejectedError):
            leader.tick()
        assert leader.disruption_count() == 1 and not leader.stopping_jobs()
    leader.tick()
    assert leader.disruption_count() == 1 and leader.stopping_jobs() == {"run-000000"}


def test_a_ledger_page_with_an_unknown_outcome_is_written_again(leader: Leader, store: ScriptedStore):
    leader.request_drain(FIRST)
    leader.tick()
    page = keys.DISRUPTION_PREFIX + "0"
    leader.before_write[page] = lambda: setattr(store, "mode", "response_lost")
    with pytest.raises(OutcomeUnknownError):
        leader.tick()
    store.mode = "ok"
    with pytest.raises(PreconditionFailedError) as conflict:
        leader.tick()
    asyncio.run(leader.node.drains.controller.writer.reread(conflict.value.keys))
    leader.tick()
    assert leader.stopping_jobs() == {"run-000000"} and leader.disruption_count() == 1


def test_a_disruption_by_another_cause_is_stored_within_the_ledger_interval(leader: Leader):
    leader.node.fleet.request_stop(
        leader.node.job_table.jobs["run-000002"], *_allocations(leader, "run-000002"), 1.0, "room"
    )
    leader.tick(3.0)
    assert [key for key in leader.written if key.startswith(keys.DISRUPTION_PREFIX)] == [keys.DISRUPTION_PREFIX + "0"]
    leader.clock.advance(PERIOD_S)
    assert leader.disruption_count() == 1, "its tasks do not run yet"


def _allocations(leader: Leader, ref: str) -> list:
    return list(leader.node.job_table.jobs[ref].allocations.values())


def test_a_cordoned_machine_is_not_schedulable_from_the_next_round_on(leader: Leader):
    """A free machine is being drained, and another job arrives before the machine is back in service or deleted."""
    fleet, free = leader.node.fleet, f"vm-{MACHINES:06d}"
    assert fleet.is_schedulable(fleet.machines[free], leader.clock())
    leader.request_drain(free, empty_machine_policy=EmptyMachinePolicy.HOLD)
    leader.tick()
    assert not fleet.is_schedulable(fleet.machines[free], leader.clock())
    machine_count, _ = leader.node.scale_out.capacity.machine_counts(leader.clock())
    assert machine_count == 2 * MACHINES - 1, "a replacement is rented where need says so"


def test_a_stored_allocation_is_not_launched_once_its_machine_is_cordoned(leader: Leader):
    node, free = leader.node, f"vm-{MACHINES:06d}"
    job = node.job_table.jobs["run-000002"]
    (allocation,) = _allocations(leader, job.job_id)
    record = {**job.stored_value, "on": [[free, 1, 2, "0"]], "next": 3}
    node.job_table.apply_record(keys.JOB_PREFIX + job.job_id, record, 90)
    assert job.allocations[0].machine == free != allocation.machine
    leader.put(keys.CORDON_PREFIX + free, records.encode(StepRecord(
        drain="kernel", phase=StepPhase.CORDONED, cordoned_at=1.0, changed_at=1.0)))  # fmt: skip
    _, response = node.heartbeat_router.respond(_idle_heartbeat(MACHINES).replace(b'"tick":2', b'"tick":3'))
    assert b"launch" not in response and not job.allocations, "it is placed elsewhere"


def test_scale_in_does_not_drain_a_machine_in_maintenance(leader: Leader):
    node, free = leader.node, f"vm-{MACHINES:06d}"
    leader.request_drain(free, empty_machine_policy=EmptyMachinePolicy.HOLD)
    for _ in range(2):
        leader.tick()
    assert leader.step(free).phase is StepPhase.EMPTY
    leader.clock.advance(200.0)
    node.fleet.machines[free].first_heartbeat_at = 0.0
    node.scale_out.scale_in.drain_excess_machines(leader.clock())
    assert node.fleet.machines[free].phase is MachinePhase.UP
    others = [machine for machine in node.fleet.machines.values() if machine.phase is MachinePhase.DRAINING]
    assert others, "idle machines beside it are beyond need"


def test_a_machine_of_another_drain_is_skipped_and_reported_as_the_reason(leader: Leader):
    leader.put(keys.CORDON_PREFIX + FIRST, records.encode(StepRecord(
        drain="other", phase=StepPhase.CORDONED, cordoned_at=leader.clock(), changed_at=1.0)))  # fmt: skip
    other = DrainRequest(selection=Selection(machines=(FIRST,)), finish_grace_s=600.0)
    leader.put(keys.DRAIN_PREFIX + "other", records.encode(new_drain_record(other, [FIRST], leader.clock())))
    leader.request_drain(FIRST)
    leader.tick()
    leader.tick(6.0)
    assert leader.step(FIRST).drain == "other" and not leader.stopping_jobs()
    assert (
        leader.node.drains.controller.table.drains["kernel"].record.wait_reason == f"{FIRST} is being drained by other"
    )


def test_a_relocated_job_is_scheduled_like_a_starving_job(leader: Leader):
    """The planner finds capacity for the job that the scheduler withholds for gangs.

    Without this priority the job waited a minute beside that capacity.
    """
    scheduler = leader.node.scheduler
    leader.request_drain(FIRST)
    for _ in range(2):
        leader.tick()
    job = leader.node.job_table.jobs["run-000000"]
    assert job.job_id in scheduler.relocated_jobs and scheduler._is_starving(job, leader.clock())
    scheduler._queue_remainder(
        job, scheduler.resource_request(job, 1), scheduler.round_state(leader.clock()), 1, False, False, leader.clock()
    )
    assert scheduler.waiting[job.job_id].last_served_at < leader.clock() - STARVATION_S
    other = leader.node.job_table.jobs["run-000001"]
    assert not scheduler._is_starving(other, leader.clock())


def test_a_machine_with_tasks_is_neither_marked_empty_nor_deleted(leader: Leader):
    leader.request_drain(FIRST, finish_grace_s=600.0)
    for _ in range(4):
        leader.tick()
    assert leader.step(FIRST).phase is StepPhase.CORDONED and not leader.stopping_jobs()
