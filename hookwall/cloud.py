"""Renting and returning machines.

Requests name themselves `hw-<token>-<n>`: the token is new with each leadership and the number with
each request, so a name is never used twice. A request without an answer is repeated under its own
name until it has one.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
import msgspec

from hookwall import wire
from hookwall.fleet import Fleet, Machine, Phase
from hookwall.placement import Ask, Room, allowed, units
from hookwall.scheduler import Scheduler, needy
from hookwall.settings import Params
from hookwall.store import Bucket
from hookwall.wire import BadMessage, Catalog, MachineList, Rented

log = logging.getLogger("hookwall.cloud")

MOST_PER_HIRE = 50
MOST_PER_DELETE = 100


class Trouble(Exception):
    """The cloud gave no usable answer."""


class NoCapacity(Exception):
    """The cloud has no such machine now."""


class CloudClient:
    """Requests to the cloud, paced below its limit."""

    def __init__(self, address: str, rps: float, clock: Callable[[], float]) -> None:
        self.base = f"http://{address}"
        self.session: aiohttp.ClientSession | None = None
        self.bucket = Bucket(rps * 0.85, max(1.0, rps), clock)

    async def open(self) -> None:
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=8, keepalive_timeout=30, use_dns_cache=False),
            auto_decompress=False,
        )

    async def _send(self, method: str, path: str, body: object = None, timeout: float = 4.0) -> tuple[int, object]:
        wait = self.bucket.delay(1.0)
        if wait > 0:
            await asyncio.sleep(wait)
        assert self.session is not None
        data = msgspec.json.encode(body) if body is not None else None
        try:
            async with asyncio.timeout(timeout):
                async with self.session.request(
                    method, self.base + path, data=data, headers={"Content-Type": "application/json"}
                ) as answer:
                    raw = await answer.read()
                    return answer.status, msgspec.json.decode(raw) if raw else {}
        except (TimeoutError, aiohttp.ClientError, OSError, msgspec.DecodeError) as e:
            raise Trouble(type(e).__name__) from None

    async def catalog(self) -> Catalog:
        status, body = await self._send("GET", "/catalog")
        if status != 200:
            raise Trouble(f"status {status}")
        return _as(body, Catalog)

    async def machines(self) -> list[wire.Listed]:
        found: list[wire.Listed] = []
        after = ""
        while True:
            status, body = await self._send("GET", f"/hosts?after={after}&most=500" if after else "/hosts?most=500")
            if status != 200:
                raise Trouble(f"status {status}")
            page = _as(body, MachineList)
            found.extend(page.machines)
            if not page.more or not page.machines:
                return found
            after = page.machines[-1].name

    async def rent(self, hire: str, type_: str, zone: str, spot: bool, count: int) -> list[str]:
        body = {"hire": hire, "hull": type_, "yard": zone, "loaners": spot, "count": count}
        status, got = await self._send("POST", "/hosts", body)
        if status == 200:
            return _as(got, Rented).machines
        if status == 503 and isinstance(got, dict) and got.get("error") == "no capacity":
            raise NoCapacity
        raise Trouble(f"status {status}")

    async def delete(self, names: list[str]) -> None:
        status, _ = await self._send("POST", "/hosts/delete", {"hosts": names})
        if status != 200:
            raise Trouble(f"status {status}")


def _as(body: object, kind: type) -> object:
    try:
        return wire.convert(body, kind)
    except BadMessage as e:
        raise Trouble(f"malformed: {e}") from None


Pool = tuple[int, int, bool]  # type, zone, spot


@dataclass(slots=True)
class Hire:
    """A rental request that has no final answer yet."""

    name: str
    pool: Pool
    count: int


class Renting:
    """What to rent and what to return. Decides; `run` carries it out while this node leads."""

    def __init__(
        self, params: Params, fleet: Fleet, scheduler: Scheduler, client: CloudClient, clock: Callable[[], float]
    ) -> None:
        self.params, self.fleet, self.scheduler, self.client, self.clock = params, fleet, scheduler, client, clock
        self.cost_matters = params.cost_matters()
        self.serial = 0
        self.hires: list[Hire] = []
        self.closed: dict[Pool, tuple[float, float]] = {}  # pool -> (not before, pause)
        self.listed_once = False
        self.peak: list[tuple[float, float]] = []
        self.began_at = -1e9

    def reset(self) -> None:
        """A new leadership: lists and reports tell what there is."""
        self.hires.clear()
        self.closed.clear()
        self.listed_once = False
        self.peak.clear()
        self.serial = 0
        self.began_at = self.clock()

    # -- what there is -------------------------------------------------------------------------

    def take_list(self, listed: list[wire.Listed], now: float) -> None:
        """Take in a machine list, which may be older than the one before."""
        fleet = self.fleet
        for item in listed:
            m = fleet.machines.get(item.name)
            fresh = m is None
            m = fleet.machine(item.name, item.type, item.zone, item.spot)
            m.listed_at = now
            if fresh:
                m.rented_at = now - item.age_s
                m.known_at = now if item.phase != "booting" else m.rented_at
            if item.phase == "failed":
                m.failed = True
        self.listed_once = True

    # -- renting -------------------------------------------------------------------------------

    def price(self, pool: Pool) -> float:
        info = self.fleet.info(pool[0])
        return 1e9 if info is None else (info.spot_price if pool[2] else info.price)

    def pools(self, now: float) -> list[Pool]:
        """Kinds of machine that might be had now, cheapest first, zones with fewest machines first."""
        fleet = self.fleet
        have: dict[Pool, int] = {}
        for m in fleet.machines.values():
            pool = (m.type, m.zone, m.spot)
            have[pool] = have.get(pool, 0) + 1
        out: list[Pool] = []
        for i, info in enumerate(fleet.type_info):
            if info is None:
                continue
            for z in info.zones:
                for spot in (False, True):
                    pool = (i, fleet.zones.of(z), spot)
                    if now >= self.closed.get(pool, (0.0, 0.0))[0]:
                        out.append(pool)
        return sorted(out, key=lambda p: (self.price(p), have.get(p, 0), p))

    def _full_room(self, pool: Pool, index: int) -> Room:
        info = self.fleet.info(pool[0])
        assert info is not None
        return Room(index, pool[0], pool[1], pool[2], info.cpus, info.gpus, info.memory, self.price(pool))

    def overdue(self, m: Machine, now: float) -> bool:
        """Whether a booting machine should no longer be counted on."""
        info = self.fleet.info(m.type)
        return m.phase is Phase.BOOTING and now - m.rented_at > 2.5 * (info.boot_s if info else 30.0)

    def coming(self, now: float) -> list[Room]:
        """Machines that are on their way."""
        rooms: list[Room] = []
        for m in self.fleet.machines.values():
            if m.phase is Phase.BOOTING and not self.overdue(m, now) and self.fleet.info(m.type) is not None:
                rooms.append(self._full_room((m.type, m.zone, m.spot), m.index))
        for h in self.hires:
            rooms.extend(self._full_room(h.pool, -1) for _ in range(h.count))
        return rooms

    def wanted(self, now: float) -> dict[Pool, int]:
        """What to rent for the jobs that wait, beyond the machines that are coming."""
        coming = self.coming(now)
        pools = self.pools(now)
        new: dict[Pool, int] = {}

        def more(ask: Ask, left: int) -> None:
            for room in coming:
                if left <= 0:
                    return
                if allowed(ask, room):
                    n = min(left, units(ask, room))
                    room.cpus -= n * ask.cpus
                    room.gpus -= n * ask.gpus
                    room.memory -= n * ask.memory
                    left -= n
            while left > 0:
                for pool in pools:
                    room = self._full_room(pool, -1)
                    n = min(left, units(ask, room))
                    if allowed(ask, room) and n > 0:
                        break
                else:
                    return
                if ask.one_zone and ask.zone < 0:
                    ask.zone = pool[1]
                new[pool] = new.get(pool, 0) + 1
                room.cpus -= n * ask.cpus
                room.gpus -= n * ask.gpus
                room.memory -= n * ask.memory
                coming.append(room)
                left -= n
                if sum(new.values()) >= MOST_PER_HIRE:
                    return

        for w in needy(self.scheduler.waiting):
            if w.job.spec is not None:
                more(self.scheduler.ask(w.job, w.count), w.count)
        return new

    def idle_gpus(self, now: float) -> tuple[float, float]:
        """(free, used) GPUs of usable and coming machines; CPUs where machines have no GPUs."""
        free = used = 0.0
        for m in self.fleet.machines.values():
            info = self.fleet.info(m.type)
            if info is None or m.phase not in (Phase.UP, Phase.BOOTING):
                continue
            total = info.gpus or info.cpus
            busy = sum((j.spec.gpus if info.gpus else j.spec.cpus) for j, _ in m.entries.values() if j.spec)
            used += busy
            free += max(0.0, total - busy)
        return free, used

    def standby(self, now: float) -> dict[Pool, int]:
        """Where no aim is about money, keep room ahead of need: half of what was lately in use."""
        free, used = self.idle_gpus(now)
        self.peak.append((now, used))
        while self.peak and now - self.peak[0][0] > 120.0:
            self.peak.pop(0)
        if self.cost_matters:
            return {}
        want = 0.5 * max(u for _, u in self.peak)
        out: dict[Pool, int] = {}
        for pool in sorted(self.pools(now), key=lambda p: (p[2], self.price(p))):
            info = self.fleet.info(pool[0])
            assert info is not None
            if free < want and (info.gpus or info.cpus) > 0:
                out[pool] = 1
                free += info.gpus or info.cpus
        return out

    # -- returning -----------------------------------------------------------------------------

    def to_return(self, now: float) -> list[Machine]:
        """Machines to delete now. They get no more work from this moment on."""
        out: list[Machine] = []
        lease = self.params.workers.lease_s
        leading = now - self.began_at
        for m in self.fleet.machines.values():
            info = self.fleet.info(m.type)
            boot = info.boot_s if info is not None else 30.0
            why = ""
            if m.phase is Phase.LEAVING:
                out.append(m)
                continue
            if m.failed:
                why = "it has failed"
            elif m.phase is Phase.BOOTING:
                if now - m.rented_at > 5.0 * boot and leading > 2 * lease and now - m.known_at > 3 * lease:
                    why = "it never came up"
            elif m.silent and leading > 2 * lease and now - m.last_beat > lease + 25.0:
                why = "its worker is silent"
            elif m.phase is Phase.NOTICED and m.notice_at is not None and now > m.notice_at + 3.0 and m.silent:
                why = "the cloud has taken it"
            elif m.phase is Phase.SICK and not m.entries:
                why = "it fails its tasks"
            elif m.phase is Phase.UP and not m.entries and not m.strays and not m.held_for and not m.silent:
                idle = now - max(m.idle_since, m.up_at)
                if self.cost_matters and leading > 20.0 and idle > self.keep_s(m):
                    why = "idle"
            if why:
                self.fleet.become(m, Phase.LEAVING, why)
                out.append(m)
        return out

    def keep_s(self, m: Machine) -> float:
        """How long an idle machine is kept: a new one costs a boot and at least a minute's price."""
        info = self.fleet.info(m.type)
        return 2.0 * (info.boot_s if info is not None else 30.0)

    # -- carrying out --------------------------------------------------------------------------

    async def _hire(self, hire: Hire) -> None:
        type_ = self.fleet.types.names[hire.pool[0]]
        zone = self.fleet.zones.names[hire.pool[1]]
        try:
            names = await self.client.rent(hire.name, type_, zone, hire.pool[2], hire.count)
        except NoCapacity:
            self.hires.remove(hire)
            self._close(hire.pool)
            return
        self.hires.remove(hire)
        log.info("rented %d of %d %s %s%s", len(names), hire.count, type_, zone, " spot" if hire.pool[2] else "")
        if len(names) < hire.count:
            self._close(hire.pool)
        else:
            self.closed.pop(hire.pool, None)
        for name in names:
            self.fleet.machine(name, type_, zone, hire.pool[2])

    def _close(self, pool: Pool) -> None:
        """Refused: ask this pool again only after a pause, which grows."""
        pause = min(30.0, self.closed.get(pool, (0.0, 3.0))[1] * 2)
        self.closed[pool] = (self.clock() + pause, pause)

    async def run(self, valid: Callable[[], bool], token: Callable[[], int]) -> None:
        """Look at the cloud every few seconds; rent and return."""
        last_list = last_plan = last_catalog = -1e9
        while True:
            await asyncio.sleep(0.3)
            if not valid():
                last_list = -1e9
                continue
            now = self.clock()
            try:
                if self.fleet.catalog is None or now - last_catalog > 60.0:
                    last_catalog = now
                    await self.on_catalog(await self.client.catalog())
                if now - last_list > (4.0 if self.listed_once else 0.5):
                    last_list = now
                    listed = await self.client.machines()
                    if valid():
                        self.take_list(listed, self.clock())
                if not valid():
                    continue
                gone = self.to_return(self.clock())[:MOST_PER_DELETE]
                if gone:
                    await self.client.delete([m.name for m in gone])
                    for m in gone:
                        if self.fleet.machines.get(m.name) is m:
                            self.fleet.gone(m, "deleted")
                for hire in list(self.hires):
                    await self._hire(hire)
                # A new leader first learns what there is; renting before that would double it.
                if not self.listed_once or now - self.began_at < 4.0 or now - last_plan < 1.0:
                    continue
                last_plan = now
                plan = self.wanted(self.clock()) or self.standby(self.clock())
                for pool, count in plan.items():
                    if not valid():
                        break
                    self.serial += 1
                    hire = Hire(f"hw-{token()}-{self.serial}", pool, min(count, MOST_PER_HIRE))
                    self.hires.append(hire)
                    await self._hire(hire)
            except Trouble as e:
                log.debug("cloud: %s", e)
                await asyncio.sleep(0.7)

    on_catalog: Callable = staticmethod(lambda c: None)
