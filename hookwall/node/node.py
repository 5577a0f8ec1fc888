"""One controller node: the slices put together, and the loops that drive them.

Over 300 lines, a quarter of them in one long constructor, since this is the one place that connects the slices.
"""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from hookwall.api import server
from hookwall.api.job_service import UserApi
from hookwall.autoscaling.cloud_client import CloudClient
from hookwall.autoscaling.scale_out import Renting
from hookwall.config.operations import DrainSettings, Operations
from hookwall.config.platform import Settings, address
from hookwall.drains.drain_slice import DrainSlice
from hookwall.jobs.cancellations import Cancellations
from hookwall.jobs.job import Active, Job
from hookwall.jobs.job_table import JobTable
from hookwall.jobs.job_writer import JobWriter
from hookwall.leadership import peer_transport
from hookwall.leadership.peer_transport import Peer
from hookwall.leadership.roles import Role
from hookwall.leadership.state_machine import Leadership
from hookwall.leadership.vote_fence import VoterFence
from hookwall.protocol import json_messages
from hookwall.protocol.cloud_messages import Catalog
from hookwall.protocol.json_messages import BadMessage
from hookwall.protocol.peer_messages import About
from hookwall.scheduling.scheduler import Scheduler
from hookwall.storage import keys
from hookwall.storage.client import Conflict, Refused, Store, Unknown
from hookwall.storage.read_confirmation import Confirmer
from hookwall.storage.storage_version import FormatGate
from hookwall.storage.watch import Watch
from hookwall.workers.fleet import Fleet
from hookwall.workers.heartbeat_router import BeatAnswer, BeatHandler
from hookwall.workers.lease_delegate import Keeper

if TYPE_CHECKING:
    from hookwall.drains.controller import DrainController

log = logging.getLogger(__name__)

ROUND_EVERY_S = 0.5
ROUND_GAP_S = 0.1


class Node:
    """All slices of one process."""

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
        operations: Operations | None = None,
    ) -> None:
        self.settings = settings
        params = settings.settings
        self.clock = clock
        self.store = Store(settings.external.state, params.state, params.size, clock)
        self.watch = Watch(self.store, clock)
        self.table = JobTable(clock)
        self.confirmer = Confirmer(self.store, self._refresh)
        self.api = UserApi(params, self.table, self.store, self.confirmer, wall)
        self.fleet = Fleet(params, self.table, clock)
        self.scheduler = Scheduler(params, self.table, self.fleet, clock, wall)
        self.scheduler.fresh_count = lambda: sum(j.fresh for j in self.table.open.values())
        self.client = CloudClient(settings.external.cloud, params.cloud.rps, clock)
        self.renting = Renting(params, self.fleet, self.scheduler, self.client, clock)
        self.renting.fresh = lambda: self.leadership.first and self.no_catalog
        self.renting.demand.stuck = lambda: not self.store.healthy()
        self.renting.on_catalog = self._catalog
        self.leadership = Leadership(
            settings.node_name, params.size, [Peer(s) for s in settings.seeds], self.store, clock,
            self._load, self._role,
        )  # fmt: skip
        self.leadership.fence = VoterFence(settings.node_name, self.store, self.leadership.saw_key_behind_fence)
        self.cancellations = Cancellations(
            params.workers, self.leadership, self.store, clock, self.watch.position, self.table.withdraw
        )
        self.keeper = Keeper(
            settings.node_name, self.leadership, self.store, self.table, self.cancellations.may_renew, clock
        )
        peer_names = [seed.node_name for seed in settings.seeds]
        self.beats = BeatHandler(self.leadership, self.fleet, self.keeper, self.cancellations, clock)
        self.formats = FormatGate(settings.node_name, peer_names, self.store)
        self.writer = JobWriter(
            self.table, self.store, self.leadership, self.fleet.kept, [keys.KEEP + n for n in peer_names], clock
        )
        self.beats.on_report = self.writer.wake.set
        self.watch.read_all, self.watch.on_current = self._read_all, self.cancellations.read
        self.watch.take = lambda key, value, stamp: self._take_key(key, value, stamp)
        self.watch.remove = self._take_deletion
        self.watch.leads = lambda: self.leadership.role is Role.LEADER
        self.writer.refresh, self.writer.on_stored = self._refresh, self._stored
        self.writer.new_formats = self.api.new_formats = self.formats.pipelines
        self.keeper.packs, self.keeper.numbers = self.formats.pipelines, self.formats.numbered
        self.writer.keepers.watched = lambda: self.watch.epoch
        self.scheduler.start_room = self.writer.start_room
        drain = (operations or Operations()).drain
        self.drains = DrainSlice(drain.enabled, bool(drain.budgets), lambda: self._drain_controller(drain, wall))
        self.renting.relocations = self.drains.relocations
        self.api.current = self.cancellations.records_current
        self.leadership.about, self.leadership.on_about = self._about, self._on_about
        self.leadership.want, self.leadership.lend = self.store.pace.want.now, self.store.pace.lend
        self.leadership.on_lent = self.store.pace.borrow
        self.leadership.say, self.leadership.reply = self.cancellations.say, self.cancellations.reply
        self.leadership.on_reply, self.leadership.on_told = self.cancellations.on_reply, self.cancellations.on_told
        self.leadership.on_lapse = self.fleet.begin_again
        self.table.on_withdrawn = self._withdrawn
        self.api.confirmed = self.cancellations.confirmed
        self.leadership.hint = self.fleet.hints.tell
        self.leadership.on_hint = self.fleet.hints.take
        self.table.on_taken = self._taken
        self.fleet.kept.on_named = self._leases_kept
        self.no_catalog = False  # whether nobody had ever stored the machine types when this node took over
        self.wake = asyncio.Event()
        self.fleet.wake = self.wake.set

    def _drain_controller(self, settings: DrainSettings, wall: Callable[[], float]) -> "DrainController":
        """Made when the first drain is seen."""
        from hookwall.drains.controller import DrainController

        params = self.settings.settings
        controller = DrainController(
            settings, params, self.fleet, self.scheduler, self.store, self.leadership, self.clock, wall
        )  # fmt: skip
        controller.all_know, controller.is_gone = self.formats.drains, self.renting.is_gone
        return controller

    # -- the state service ---------------------------------------------------------------------

    async def _refresh(self, key: str) -> None:
        await self.api.refresh(key)

    def _stored(self) -> None:
        """Decisions were stored: starts can be launched, and others may be ready."""
        self.wake.set()

    def _about(self) -> About:
        """What this node says of itself in each message to its peers."""
        return About(self.formats.current, self.store.pace.lowered_seen())

    def _on_about(self, node: str, about: About) -> None:
        """What a peer says of itself; older programs say nothing."""
        self.formats.heard(node, about.format)
        if about.lowered:
            self.store.pace.lower(f"{node} says so")

    def _take_key(self, key: str, value: Any, stamp: int) -> None:
        if key.startswith(keys.JOBS):
            self.table.apply(key, value, stamp)
        elif key == keys.LEADER:
            self.leadership.saw_key(value, stamp)
        elif key.startswith(keys.KEEP):
            self.fleet.kept.take(key, value, stamp)
        elif key.startswith(keys.PARTS):
            self.table.take_part(key, value, stamp)
        elif key.startswith(keys.FORMAT):
            self.formats.saw(key, value, stamp)
        elif self.drains.follows(key):
            self.drains.take(key, value, stamp)
        elif key == keys.CATALOG and not self.leadership.valid():
            try:
                self._set_catalog(json_messages.convert(value, Catalog))
            except BadMessage as e:
                log.error("stored catalog is malformed: %s", e)

    def _take_deletion(self, key: str, stamp: int) -> None:
        """A key is gone."""
        if key == keys.LEADER:
            self.leadership.saw_key({}, 0, stamp)
        elif key.startswith(keys.PARTS):
            self.table.parts.remove(key, stamp)
        elif self.drains.follows(key):
            self.drains.remove(key, stamp)
        elif key.startswith(keys.KEEP):
            known = self.fleet.kept.keys.get(key)
            if known is not None and stamp > known[0]:
                self.fleet.kept.take(key, None, 0)

    def _set_catalog(self, catalog: Catalog) -> None:
        self.api.catalog = catalog
        self.fleet.set_catalog(catalog)

    async def _read_all(self) -> None:
        """Read every key; the watch goes on from there."""
        sent = self.clock()
        found, epoch = await self.store.scan(keys.ROOT)
        self._keepers_missing(found)
        self.drains.read_all(found)
        if self.leadership.role is Role.LEADER:
            self.writer.keepers.any_lease_may_be_kept()  # changes were missed
        leader = False
        for key, value, stamp in found:
            leader = leader or key == keys.LEADER
            self._take_key(key, value, stamp)
        if not leader:
            self.leadership.saw_key({}, 0, epoch)
        self.watch.epoch = epoch
        self.watch.loaded = self.cancellations.complete = True
        self.cancellations.read(sent)
        log.info("read %d jobs", len(self.table.jobs))

    async def _load(self) -> None:
        """A new leader's picture starts from the records as they are after its key was written."""
        self.table.void_decisions()
        sent = self.clock()
        found, epoch = await self.store.scan(keys.ROOT)
        self._keepers_missing(found)
        self.drains.load(found)
        for key, value, stamp in found:
            if key != keys.LEADER:
                self._take_key(key, value, stamp)
        for ref in list(self.table.parts.incomplete):
            await self._refresh(keys.JOBS + ref)  # its parts were replaced while the keys were read
        self.watch.scanned = epoch
        self.cancellations.complete = True
        self.cancellations.read(sent)
        self.no_catalog = all(key != keys.CATALOG for key, _, _ in found)
        self.fleet.reset(self.leadership.token)
        self.scheduler.waiting.clear()
        self.renting.reset()

    def _keepers_missing(self, found: list[tuple[str, object, int]]) -> None:
        """Keepers' keys that a full read does not show are gone."""
        there = {key for key, _, _ in found}
        for key in [k for k in self.fleet.kept.keys if k not in there]:
            self.fleet.kept.take(key, None, 0)

    def _taken(self, job: Job, before: list[Active]) -> None:
        if self.leadership.role is Role.LEADER:
            self.fleet.retake(job, before)
        self.wake.set()

    def _leases_kept(self, machines: frozenset[str] | None) -> None:
        """Followers keep the leases of these machines.

        From here on the leader's writes have the newer keys as conditions, so what it decided on the older ones
        would be stored: a machine whose lease seemed to be over runs its tasks, and they were started elsewhere.
        """
        if self.leadership.role is Role.LEADER and self.fleet.leases.was_wrong(machines):
            log.info("a lease that seemed to be over is kept; decisions that are not stored are void")
            self.table.revert()

    def _withdrawn(self, ref: str, stamp: int) -> None:
        self.cancellations.learn(ref, stamp)
        self.wake.set()

    async def _catalog(self, catalog: Catalog) -> None:
        """The leader has asked the cloud; the other nodes learn the machine types from the store."""
        old = self.api.catalog
        self._set_catalog(catalog)
        shape = [(t.name, t.cpus, t.gpus, t.memory, t.zones) for t in catalog.types]
        if old is not None and shape == [(t.name, t.cpus, t.gpus, t.memory, t.zones) for t in old.types]:
            return
        try:
            await self.store.commit(
                [(keys.LEADER, self.leadership.token)], [(keys.CATALOG, msgspec.to_builtins(catalog))]
            )
        except (Conflict, Refused, Unknown) as e:
            log.info("could not store the catalog: %s", type(e).__name__)
            self.api.catalog = old

    # -- leading -------------------------------------------------------------------------------

    def _role(self, role: Role) -> None:
        self.store.pace.lead(role.leads())
        self.wake.set()

    async def beat(self, body: bytes) -> BeatAnswer:
        """The answer to a worker's report, for whoever can wait."""
        got = self.beats.take(body)
        return got if isinstance(got, tuple) else await got

    def up(self) -> bool:
        """Healthy while this node can serve users, or while it knows that no other node could either."""
        if not self.watch.loaded:
            return False
        return self.store.healthy() or self.leadership.all_as_badly_off()

    async def round_loop(self) -> None:
        """Rounds of decisions while this node leads."""
        took = 0.0
        while True:
            try:
                async with asyncio.timeout(ROUND_EVERY_S):
                    await self.wake.wait()
            except TimeoutError:
                pass
            # Where a round takes long, reports and users have as long in between.
            await asyncio.sleep(min(max(ROUND_GAP_S, took), ROUND_EVERY_S))
            self.wake.clear()
            if not self.leadership.valid():
                continue
            began = self.clock()
            try:
                self.fleet.begin(self.clock())
                self.fleet.expire(self.clock())
                if self.fleet.catalog is not None and self.scheduler.round():
                    self.wake.set()
                self.writer.wake.set()
            except Exception:
                log.exception("round failed")
            took = self.clock() - began

    async def _keep(self, name: str, loop: Any) -> None:
        """A loop that ends by an error starts again: a node must not half-live."""
        while True:
            try:
                await loop()
            except Exception:
                log.exception("%s failed", name)
                await asyncio.sleep(0.5)

    async def run(self) -> None:
        await self.store.open()
        await self.client.open()
        await peer_transport.listen(self.settings.peer_listen, self.leadership.handle)
        host, port = address(self.settings.public_addr, "public_addr")
        params = self.settings.settings
        door = server.Door(
            self.api, self.beats.take, self.up, params.machine_limits.sockets, params.workers.report_s, self.clock
        )
        await server.listen(door, host, port)
        log.info("%s listens", self.settings.node_name)
        await self.work({"shed": door.run})

    async def work(self, more: dict[str, Callable[[], Any]] | None = None) -> None:
        """All loops of this node; they go on until the process ends."""
        lead = self.leadership
        loops = {
            "watch": self.watch.run,
            "confirm": self.confirmer.run,
            "write": self.writer.run,
            "formats": self.formats.run,
            "round": self.round_loop,
            "ping": lead.heartbeat.run,
            "probe": lead.probe_loop,
            **({"fence": lead.fence.run} if lead.fence is not None else {}),
            "lead": lambda: lead.run(lambda: bool(self.fleet.machines)),
            "keep": self.keeper.run,
            "list": lambda: self.renting.lists.run(lead.valid),
            "drain": lambda: self.drains.run(lead.valid),
            "rent": lambda: self.renting.run(lead.valid, lambda: lead.token),
            **(more or {}),
        }
        await asyncio.gather(*(self._keep(n, f) for n, f in loops.items()))
