"""Rounds of decisions: which waiting job goes where, and who has to make room.

A round has a time budget. Jobs are taken in order (within a guarantee, rank, arrival); a round that
runs out of time goes on, the next time, with the job at which it stopped.
"""

import logging
import math
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from hookwall.fleet import Fleet
from hookwall.jobs import DONE, OPEN, Active, Job, JobTable
from hookwall.placement import EPS, Ask, Room, allowed, place, units
from hookwall.settings import Params

log = logging.getLogger("hookwall.scheduler")

ROUND_CORE_S = 0.011  # of a core, for one round: 30 ms on a third of one
MOST_ROUND_S = 0.12  # reports and health checks wait meanwhile
MOST_FRESH = 60  # jobs with starts that wait to be stored
HOLD_AFTER_S = 1.0
KEEP_Z = 0.8  # how many machines are kept for whole-machine jobs, in roots of their mean need
SMOOTH_S = 90.0
WARM_GAIN_S = 12.0  # a fetch longer than this is worth making room where the image is
STOCK_COST_S = 0.2  # for each GB of images that others would have to fetch again
DECLINE = 0.35  # of the time of a fetch, a job leaves machines without its image to others
DECLINE_ARRAY = 0.7
DECLINE_GANG = 1.2  # for gangs of several tasks
STARVES_S = 60.0  # so long without anything, a job leaves nothing to others any more
IDLES_S = 60.0  # and may have room that has been reserved in vain for as long
SETTLED_S = 30.0  # a start that lasts this long counts for its user


@dataclass(slots=True)
class Waiting:
    """A job that a round could not serve in full: what the cloud slice rents for."""

    job: Job
    count: int
    since: float
    served: float = -1.0  # when it last got something, or began to wait
    zone: int = -1  # where machines are being kept for it
    declined: float = -1.0  # since when it leaves machines without its image to others, unserved


@dataclass(slots=True)
class Usage:
    """What a team's tasks may be using now, and what all its unfinished jobs want."""

    cpus: float = 0.0
    gpus: float = 0.0


@dataclass(slots=True)
class Option:
    """Room that could be made on one machine for tasks of one size."""

    cost: float  # without a fetch
    index: int
    count: int  # how many of the tasks would fit
    victims: list[tuple[Job, Active]]


@dataclass(slots=True)
class Picture:
    """One round's view of what is free."""

    rooms: dict[int, Room] = field(default_factory=dict)
    free: dict[int, Room] = field(default_factory=dict)  # those of them with a GPU left
    rivals: dict[tuple[int, bool], Counter[int]] = field(default_factory=dict)
    options: dict[tuple, list[Option]] = field(default_factory=dict)
    usage: dict[int, Usage] = field(default_factory=dict)
    held: dict[int, str] = field(default_factory=dict)
    kept: set[int] = field(default_factory=set)  # for whole-machine jobs that may come
    awaited: set[int] = field(default_factory=set)  # for those that wait
    suiting: dict[tuple, list[Room]] = field(default_factory=dict)  # by what may be asked, but for those held

    def unheld(self, ask: Ask) -> list[Room]:
        """Machines that the job's conditions admit and nobody holds.

        Each gang of a queue looked through all machines, most of which earlier ones had reserved: of
        567 machines and 100 waiting gangs that was half of all the leader did.
        """
        key = (ask.types, ask.zone, ask.spot)
        rooms = self.suiting.get(key)
        if rooms is None:
            rooms = [r for r in self.rooms.values() if allowed(ask, r)]
        rooms = self.suiting[key] = [r for r in rooms if r.index not in self.held]
        return rooms

    def may_fit(self, gpus: float) -> dict[int, Room]:
        """Under load few machines have a GPU left, and only those matter to a task that needs one."""
        return self.free if gpus > 0 else self.rooms


class Scheduler:
    """The leader's decisions about tasks. It changes jobs and fleet in memory; the writer stores."""

    def __init__(
        self,
        params: Params,
        table: JobTable,
        fleet: Fleet,
        clock: Callable[[], float],
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.params, self.table, self.fleet, self.clock, self.wall = params, table, fleet, clock, wall
        self.limits = [params.teams[i] for i in range(len(params.teams))]
        # A budget of time that stayed as it was when the share was halved cut each round's work to a half as well.
        self.budget_s = min(MOST_ROUND_S, ROUND_CORE_S / max(0.01, params.machine_limits.core_share))
        self.resume: tuple | None = None
        self.waiting: dict[str, Waiting] = {}
        self.fresh_count: Callable[[], int] = lambda: 0
        self.mean_whole = 0.0
        self.whole_rank = self.last_whole_rank = -1
        self.lowest_rank = -1  # of the work that is on machines
        self.kept_at = -1e9
        self.reserved: dict[int, tuple[float, float]] = {}  # machine -> reserved since, and seen so last
        # How many bytes the state of one job may take in its record (`record_bytes` in job_writer.py).
        self.record_bytes: Callable[[], float] = lambda: params.state.value_kb * 1024
        self.last_start: dict[str, float] = {}  # when a class is expected to have begun at the latest
        for o in params.objectives:
            if o.kind == "wait" and o.job_class and o.within_s:
                self.last_start[o.job_class] = max(o.within_s, self.last_start.get(o.job_class, 0.0))

    # -- the picture ---------------------------------------------------------------------------

    def picture(self, now: float) -> Picture:
        """Free room on each usable machine, and what each team may be using."""
        p = Picture()
        fleet = self.fleet
        for m in fleet.machines.values():
            if m.held_for and not self._still_waits(m.held_for):
                m.held_for = ""
            if not fleet.usable(m, now):
                continue
            room = fleet.room(m)
            p.rooms[m.index] = room
            if room.gpus > EPS:
                p.free[m.index] = room
            if m.held_for:
                p.held[m.index] = m.held_for
        for job in self.table.open.values():
            if job.spec is None or not job.active:
                continue
            u = p.usage.setdefault(job.team, Usage())
            u.cpus += job.spec.cpus * len(job.active)
            u.gpus += job.spec.gpus * len(job.active)
        return p

    def _still_waits(self, ref: str) -> bool:
        job = self.table.open.get(ref)
        return job is not None and job.phase == OPEN and ref in self.waiting

    def guaranteed(self) -> set[str]:
        """Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs."""
        out: set[str] = set()
        want: dict[int, Usage] = {}
        for job in sorted(self.table.open.values(), key=lambda j: (j.arrival, j.ref)):
            if job.phase != OPEN or job.spec is None or not 0 <= job.team < len(self.limits):
                continue
            team = self.limits[job.team]
            u = want.setdefault(job.team, Usage())
            u.cpus += job.spec.cpus * job.tasks
            u.gpus += job.spec.gpus * job.tasks
            if (team.gpus or team.cpus) and (
                (not team.gpus or u.gpus <= team.gpus + 1e-9) and (not team.cpus or u.cpus <= team.cpus + 1e-9)
            ):
                out.add(job.ref)
        return out

    def quota(self, job: Job, p: Picture) -> int:
        """How many more tasks of the job its team's limit admits."""
        if not 0 <= job.team < len(self.limits):
            return 0
        team, u, spec = self.limits[job.team], p.usage.get(job.team) or Usage(), job.spec
        assert spec is not None
        n = job.tasks
        if team.gpus_max and spec.gpus > 0:
            n = min(n, int((team.gpus_max - u.gpus + 1e-6) / spec.gpus))
        if team.cpus_max and spec.cpus > 0:
            n = min(n, int((team.cpus_max - u.cpus + 1e-6) / spec.cpus))
        return max(0, n)

    # -- a round -------------------------------------------------------------------------------

    def round(self) -> bool:
        """Decide what can be decided now. True if the round ran out of time."""
        now = self.clock()
        self._tidy(now)
        self._measure(now)
        firm = self.guaranteed()
        queue: list[tuple[tuple, Job]] = []
        for job in self.table.open.values():
            if job.phase != OPEN or job.spec is None or now < job.not_before:
                continue
            if not job.pending(1) or (job.spec.gang and job.active):
                self.waiting.pop(job.ref, None)
                continue
            queue.append(((job.ref not in firm, job.rank, job.arrival, job.ref), job))
        queue.sort(key=lambda q: q[0])
        for ref in [r for r in self.waiting if r not in self.table.open]:
            del self.waiting[ref]
        if not queue:
            self.resume = None
            return False
        start = 0
        if self.resume is not None:
            start = next((i for i, q in enumerate(queue) if q[0] >= self.resume), 0)
        p = self.picture(now)
        self._keep(p)
        self.resume = self._serve_all(queue[start:], p, firm, now)
        self._follow_reserved(p, now)
        return self.resume is not None or start > 0

    def _serve_all(self, queue: list[tuple[tuple, Job]], p: Picture, firm: set[str], now: float) -> tuple | None:
        """Serve jobs in order while there is time; the key of the one to go on with, or None."""
        fresh = self.fresh_count()
        for i, (key, job) in enumerate(queue):
            if i > 0 and self.clock() - now > self.budget_s:
                log.debug("round out of time after %d of %d jobs", i, len(queue))
                return key
            if fresh > MOST_FRESH:
                return key
            was = job.fresh
            self._serve(job, p, job.ref in firm, now)
            fresh += job.fresh and not was
        return None

    def _tidy(self, now: float) -> None:
        """Finish jobs whose tasks are all done; end what is left of broken gangs."""
        for job in list(self.table.open.values()):
            if job.phase == OPEN and job.spec is not None and job.tasks and job.n_done >= job.tasks:
                job.phase = DONE
                job.ended = self.wall()
                job.dirty = True
            broken = job.spec is not None and job.spec.gang and 0 < len(job.active) < job.tasks
            if job.phase == OPEN and broken and not job.n_done:
                for a in job.active.values():
                    self.fleet.stop(job, a, 0.0, "its gang is incomplete")

    def ask(self, job: Job, count: int) -> Ask:
        spec = job.spec
        assert spec is not None
        in_zone: dict[int, int] = {}
        if spec.one_zone or spec.spread or spec.service:
            for a in job.active.values():
                zone = self.fleet.zone_of(a.machine)
                in_zone[zone] = in_zone.get(zone, 0) + 1
        return Ask(
            count, job.tasks, spec.gang, spec.cpus, spec.gpus, spec.memory, job.image, job.types, job.zone,
            spec.one_zone, spec.spread, spec.spot, spec.service, in_zone,
        )  # fmt: skip

    def _serve(self, job: Job, p: Picture, firm: bool, now: float) -> None:
        spec = job.spec
        assert spec is not None
        count = job.tasks if spec.gang else min(job.n_pending(), self._widest(job))
        allowed = self.quota(job, p)
        if allowed < (count if spec.gang else 1):
            self.waiting.pop(job.ref, None)  # room would not help: it waits for its own team
            return
        count = min(count, allowed)
        ask = self.ask(job, count)
        starves = self._starves(job, now)
        # Not for ever: the machine may be the only one, and what was wrong with it may be over.
        shuns = job.errors and now - job.failed_at < STARVES_S
        rooms = [
            r for i, r in p.may_fit(spec.gpus).items()
            if (p.held.get(i, job.ref) == job.ref or (starves and self._idles(i, now)))
            and not (shuns and job.errors.get(self.fleet.by_index[i].name, 0) >= 2)
        ]  # fmt: skip
        if not spec.gang:
            rooms = self._uncontested(job, rooms, p, now)
        else:
            rooms = self._spared(job, ask, rooms, p, now)
        got = self._choose(job, ask, p, rooms, firm, now)
        if got and self._better_warm(job, ask, p, got, firm, now):
            return
        placed = sum(n for _, n in got)
        if placed:
            tasks = job.pending(placed)
            attempt = job.next_attempt
            job.next_attempt += 1
            at = 0
            for index, n in got:
                m = self.fleet.by_index[index]
                for task in tasks[at : at + n]:
                    self.fleet.put(job, task, m, attempt, now)
                at += n
                self._take(p, index, job, n)
                self.reserved.pop(index, None)
                if m.held_for == job.ref:
                    m.held_for = ""
                    p.held.pop(index, None)
            u = p.usage.setdefault(job.team, Usage())
            u.cpus += spec.cpus * placed
            u.gpus += spec.gpus * placed
            log.debug(
                "%s: %d of %d tasks placed on %s", job.ref, placed, count,
                ",".join(f"{self.fleet.by_index[i].name}*{n}" for i, n in got),
            )  # fmt: skip
        left = count - placed
        if left <= 0:
            self.waiting.pop(job.ref, None)
            return
        w = self.waiting.get(job.ref)
        if w is None:
            w = self.waiting[job.ref] = Waiting(job, left, now, served=now)
        elif placed:
            w.served = now
            # As long as it is served it can go on being choosy. When its patience counted from the
            # first time, each job of a long queue took whatever came, and three in four tasks fetched.
            w.declined = -1.0
        w.count = left
        missing = self._preempt(job, p, left, firm, now)
        if spec.gang and missing > 0 and now - w.since > HOLD_AFTER_S:
            self._reserve(job, ask, p, now)

    def _choose(
        self, job: Job, ask: Ask, p: Picture, rooms: list[Room], firm: bool, now: float
    ) -> list[tuple[int, int]]:
        """HAS over the machines that the job may have; kept ones only if nothing else will do."""
        starves = self._starves(job, now)
        if (p.kept or p.awaited) and not starves and job.rank <= self.whole_rank and not self._whole(job):
            if ask.spot:
                # Older arrays refilled each GPU of the machines that a gang waited for; they have the
                # cheap ones and the rest, and gangs have nothing else.
                rooms = [r for r in rooms if r.index not in p.awaited]
            got = place(ask, [r for r in rooms if r.index not in p.kept])
            if not firm or sum(n for _, n in got) >= ask.count:
                return got
        return place(ask, rooms)

    def _idles(self, index: int, now: float) -> bool:
        """Whether a machine has been reserved for long and got nothing: whoever it waits for, others starve."""
        since, _ = self.reserved.get(index, (now, now))
        return now - since > IDLES_S

    def _follow_reserved(self, p: Picture, now: float) -> None:
        """Since when each machine is kept from others. A round that runs out of time does not see all."""
        for index in p.held:
            since, _ = self.reserved.get(index, (now, now))
            self.reserved[index] = (since, now)
        self.reserved = {i: r for i, r in self.reserved.items() if now - r[1] < 5.0}

    def _starves(self, job: Job, now: float) -> bool:
        """Whether a job has had nothing for so long that it need not leave machines to gangs any more."""
        w = self.waiting.get(job.ref)
        return w is not None and now - w.served > STARVES_S

    def _better_warm(self, job: Job, ask: Ask, p: Picture, got: list[tuple[int, int]], firm: bool, now: float) -> bool:
        """Whether to wait for a machine that has the image, because making room is faster than a fetch."""
        spec = job.spec
        assert spec is not None
        if not spec.gang or job.tasks > 1:
            return False
        room = p.rooms[got[0][0]]
        fetch = self.fleet.fetch_s(room.type, spec.image_gb)
        if job.image in room.warm or fetch < WARM_GAIN_S:
            return False
        w = self.waiting.get(job.ref)
        if self._declines(job, room, fetch, w, p, now):
            return True
        if w is not None and now - w.since > WARM_GAIN_S:
            return False
        # Only a machine that has the image is worth waiting for, not any that is held for the job.
        held = any(ref == job.ref and i in p.rooms and job.image in p.rooms[i].warm for i, ref in p.held.items())
        if not held and self._preempt(job, p, 1, firm, now, warm_only=True) > 0:
            return False
        if w is None:
            self.waiting[job.ref] = Waiting(job, 1, now, served=now)
        return True

    def _rival_images(self, job: Job, p: Picture) -> set[int]:
        """Images of the other jobs of its rank and kind that wait, but for its own."""
        spec = job.spec
        assert spec is not None
        if not p.rivals:
            for w in self.waiting.values():
                if w.job.spec is not None:
                    p.rivals.setdefault((w.job.rank, w.job.spec.gang), Counter())[w.job.image] += 1
        return set(p.rivals.get((job.rank, spec.gang), ())) - {job.image}

    def _leaves(self, w: Waiting, now: float, fetch: float, share: float) -> bool:
        """Whether a job goes on leaving machines without its image to others: for a share of the fetch's time.

        Not where it would miss the last moment at which its class is expected to have begun. That is
        counted by the time of day at which it came, since a new leader has seen nothing wait yet.
        """
        assert w.job.spec is not None
        if now - w.served > STARVES_S:
            return False
        if self.wall() - w.job.arrival + fetch > self.last_start.get(w.job.spec.job_class, math.inf):
            return False
        if w.declined < 0:
            w.declined = now
        return now - w.declined < share * fetch

    def _declines(self, job: Job, room: Room, fetch: float, w: Waiting | None, p: Picture, now: float) -> bool:
        """Whether to leave a free machine to an equal that has its image there, for a short while.

        In a burst the first in line took whatever became free and fetched for half a minute, while
        the next one waited for just that machine: a third of all machines' time went into fetches.
        """
        if w is None or not self._rival_images(job, p) & room.warm:
            return False
        return self._leaves(w, now, fetch, DECLINE)

    def _uncontested(self, job: Job, rooms: list[Room], p: Picture, now: float) -> list[Room]:
        """In a queue, without the machines whose image another waiting array has, for a short while.

        When everything is full, each freed GPU went to the first in line, and one in four of them then
        waited for a fetch while a later job's image lay there.
        """
        w = self.waiting.get(job.ref)
        if w is None or job.spec is None:
            return rooms
        wanted = self._rival_images(job, p)
        fetch = max((self.fleet.fetch_s(i, job.spec.image_gb) for i in range(len(self.fleet.type_info))), default=0.0)
        if not wanted or not self._leaves(w, now, fetch, DECLINE_ARRAY):
            return rooms
        return [r for r in rooms if job.image in r.warm or not wanted & r.warm]

    def _spared(self, job: Job, ask: Ask, rooms: list[Room], p: Picture, now: float) -> list[Room]:
        """In a queue, what a gang of several takes: not the free machines whose image an equal waits for, for a while.

        Its last machine to have the image is the one that counts, and all others idle until then. In a
        queue of 50 gangs three in four of their tasks fetched for half a minute.
        """
        w = self.waiting.get(job.ref)
        spec = job.spec
        if w is None or spec is None or job.tasks < 2:
            return rooms
        wanted = self._rival_images(job, p)
        if not wanted:
            return rooms
        left: set[int] = set()
        fetch = 0.0
        for r in rooms:
            if r.gpus + EPS < spec.gpus or job.image in r.warm:
                continue  # in a queue, nearly all are full: the cheapest check comes first
            if wanted & r.warm and allowed(ask, r) and units(ask, r) > 0:
                left.add(r.index)
                fetch = max(fetch, self.fleet.fetch_s(r.type, spec.image_gb))
        if fetch < WARM_GAIN_S or not self._leaves(w, now, fetch, DECLINE_GANG):
            return rooms
        return [r for r in rooms if r.index not in left]

    def _widest(self, job: Job) -> int:
        """How many more starts the job's record can name: a value has a limit, and ranges are short."""
        room = self.record_bytes() * 0.75 - 700 - 40 * len({a.machine for a in job.active.values()})
        return max(0, int(room / 14) - len(job.active))

    def _take(self, p: Picture, index: int, job: Job, n: int) -> None:
        spec = job.spec
        assert spec is not None
        room = p.rooms[index]
        room.cpus -= spec.cpus * n
        room.gpus -= spec.gpus * n
        room.memory -= spec.memory * n
        room.warm = {*room.warm, job.image}
        if room.gpus <= EPS:
            p.free.pop(index, None)

    def _whole(self, job: Job) -> bool:
        """Whether each task needs most of an ordinary machine."""
        spec = job.spec
        if spec is None or spec.spot:
            return False
        for i, info in enumerate(self.fleet.type_info):
            if info is not None and (job.types is None or i in job.types):
                if 2 * spec.gpus > info.gpus > 0 or 2 * spec.cpus > info.cpus or 2 * spec.memory > info.memory:
                    continue
                return False
        return True

    def _measure(self, now: float) -> None:
        """Follow how many machines the jobs need that take one whole."""
        need = 0
        self.whole_rank = self.lowest_rank = -1
        for job in self.table.open.values():
            if job.active:
                self.lowest_rank = max(self.lowest_rank, job.rank)
            if job.phase == OPEN and self._whole(job):
                need += job.tasks - job.n_done
                self.whole_rank = max(self.whole_rank, job.rank)
        f = 1.0 - math.exp(-min(30.0, max(0.0, now - self.kept_at)) / SMOOTH_S)
        self.kept_at = now
        self.mean_whole += f * (need - self.mean_whole)
        if self.whole_rank < 0:
            self.whole_rank = self.last_whole_rank
        self.last_whole_rank = self.whole_rank

    def _keep(self, p: Picture) -> None:
        """Keep some machines for jobs that need one whole and that may stop nobody.

        Small tasks of the same rank fit anywhere and refill each GPU that is freed, so under load no
        ordinary machine ever becomes empty. As many are kept as such jobs' need is likely to vary.
        """
        waits = sum(
            w.count for w in self.waiting.values()
            if w.job.rank == self.whole_rank and w.job.phase == OPEN and self._whole(w.job)
        )  # fmt: skip
        if self.mean_whole < 0.5 and not waits:
            return
        left = math.ceil(KEEP_Z * math.sqrt(self.mean_whole))
        spare = [
            r for r in p.rooms.values()
            if not r.spot and r.index not in p.held and not self._has_whole(r)
        ]  # fmt: skip
        spare.sort(key=lambda r: (-r.gpus, -r.cpus, r.index))
        p.awaited = {r.index for r in spare[:waits]}
        p.kept = {r.index for r in spare[waits : waits + left]}

    def _has_whole(self, room: Room) -> bool:
        """Whether a task is there that needs a machine whole; asked once for as long as nothing there changes."""
        if room.whole is None:
            room.whole = any(self._whole(j) for j, _ in self.fleet.by_index[room.index].entries.values())
        return room.whole

    def _reserve(self, job: Job, ask: Ask, p: Picture, now: float) -> None:
        """Keep later jobs off the machines that a waiting gang will get first.

        Without this, small tasks of later jobs take each GPU that is freed, and a gang that needs
        whole machines never starts.
        """
        left = ask.count - sum(ref == job.ref for ref in p.held.values())
        fit = p.unheld(ask)
        fit = self._spared(job, ask, fit, p, now)
        if ask.one_zone and fit:
            by_zone: dict[int, list[Room]] = {}
            for r in fit:
                by_zone.setdefault(r.zone, []).append(r)
            w = self.waiting.get(job.ref)
            if w is not None and len(by_zone.get(w.zone, ())) >= left:
                # Once chosen, a zone stays: when it followed each freed GPU, no zone ever had enough.
                fit = by_zone[w.zone]
            else:
                fit = max(by_zone.values(), key=lambda rs: sum(sorted((r.gpus for r in rs), reverse=True)[:left]))
                if w is not None:
                    w.zone = fit[0].zone
        for r in sorted(fit, key=lambda r: (-r.gpus, -r.cpus, r.index)):
            if left <= 0:
                return
            p.held[r.index] = job.ref
            left -= max(1, units(ask, r))

    # -- making room ---------------------------------------------------------------------------

    def _may_stop(self, job: Job, firm: bool, other: Job, beyond: dict[int, Usage]) -> bool:
        """PROTOCOL, "Preemption": lower priority, or beyond the guarantee of another team."""
        if other is job or other.phase != OPEN or other.spec is None:
            return False
        if other.rank > job.rank and not (firm is False and self._is_firm(other, beyond)):
            return True
        if not firm or other.team == job.team:
            return False
        return not self._is_firm(other, beyond)

    def _is_firm(self, other: Job, beyond: dict[int, Usage]) -> bool:
        """Whether stopping one of its tasks would cut into its team's guarantee."""
        u = beyond.get(other.team)
        return u is None or self._firm(u)

    @staticmethod
    def _firm(u: Usage) -> bool:
        """Whether nothing is used beyond a guarantee."""
        return u.gpus <= 1e-6 and u.cpus <= 1e-6

    def _beyond(self, p: Picture) -> dict[int, Usage]:
        """What each team uses beyond its guarantee."""
        out: dict[int, Usage] = {}
        for i, team in enumerate(self.limits):
            u = p.usage.get(i) or Usage()
            out[i] = Usage(max(0.0, u.cpus - team.cpus), max(0.0, u.gpus - team.gpus))
            if team.gpus and not team.cpus:
                out[i].cpus = 0.0
        return out

    def _preempt(self, job: Job, p: Picture, left: int, firm: bool, now: float, warm_only: bool = False) -> int:
        """Stop what may be stopped so that the job's tasks fit. Returns how many still have no room."""
        spec = job.spec
        assert spec is not None
        ask = self.ask(job, left)
        holding = [
            i for i, ref in p.held.items()
            if ref == job.ref and not (warm_only and i in p.rooms and job.image not in p.rooms[i].warm)
        ]  # fmt: skip
        for i in holding:
            left -= max(1, self._units_if(ask, i, lambda a, o: a.stop_grace is not None))
        if left <= 0:
            return 0
        beyond = self._beyond(p)
        if not self._any_victims(job, firm, beyond):
            return left
        zones = {p.rooms[i].zone for i in holding if i in p.rooms}
        options: list[tuple[tuple, int, int, list[tuple[Job, Active]]]] = []
        for o in self._options(job, ask, p, firm, beyond, now):
            room = p.rooms[o.index]
            if o.index in p.held or (warm_only and job.image not in room.warm):
                continue
            if ask.one_zone and zones and room.zone not in zones:
                continue
            if any(a.stop_grace is not None for _, a in o.victims):
                continue
            cost = 0.0 if job.image in room.warm else self.fleet.fetch_s(room.type, spec.image_gb)
            options.append(((o.cost + cost, o.index), o.index, o.count, o.victims))
        options.sort(key=lambda o: o[0])
        if ask.one_zone and spec.gang:
            zone_n: dict[int, int] = {}
            for _, index, n, _ in options:
                z = p.rooms[index].zone
                zone_n[z] = zone_n.get(z, 0) + n
            free = {z: 0 for z in zone_n}
            open_rooms: list[tuple[Room, int]] = []
            for index, room in p.may_fit(spec.gpus).items():
                if room.zone in free and index not in p.held and allowed(ask, room) and (n := units(ask, room)) > 0:
                    if warm_only and job.image not in room.warm:
                        continue
                    free[room.zone] += n
                    open_rooms.append((room, n))
            good = [z for z, n in zone_n.items() if n + free[z] >= left]
            if not good:
                return left
            first = next(p.rooms[o[1]].zone for o in options if p.rooms[o[1]].zone in good)
            options = [o for o in options if p.rooms[o[1]].zone == first]
            # What is free already is kept for it as well: smaller work of lower rank took it while the
            # rest was being freed, and the next round stopped some more for the same gang.
            for room, n in sorted(open_rooms, key=lambda o: (job.image not in o[0].warm, o[0].index)):
                if left <= 0:
                    break
                if room.zone == first:
                    self._hold(job, p, room.index)
                    left -= n
        elif spec.gang and sum(o[2] for o in options) < left:
            return left
        for _, index, n, chosen in options:
            if left <= 0:
                break
            if not self._charge(job, chosen, beyond):
                continue
            for o, a in chosen:
                assert o.spec is not None
                grace = o.spec.save_s + 0.5 if o.spec.checkpoint_s > 0 else 0.0
                self.fleet.stop(o, a, grace, f"room for {job.ref}")
            self._hold(job, p, index)
            left -= n
        return left

    def _hold(self, job: Job, p: Picture, index: int) -> None:
        """Keep a machine for a job that waits, beyond this round."""
        self.fleet.by_index[index].held_for = job.ref
        p.held[index] = job.ref

    def _any_victims(self, job: Job, firm: bool, beyond: dict[int, Usage]) -> bool:
        """Whether anything may be stopped for the job: mostly not, and a scan of all machines says so late."""
        if self.lowest_rank > job.rank:
            return True
        return firm and any(t != job.team and not self._firm(u) for t, u in beyond.items())

    def _options(
        self, job: Job, ask: Ask, p: Picture, firm: bool, beyond: dict[int, Usage], now: float
    ) -> list[Option]:
        """Where room could be made for tasks of this size; found once a round for all jobs that ask alike."""
        key = (
            job.rank, firm, job.team if firm else -1, ask.gang, ask.count if ask.gang else min(ask.count, 8),
            ask.cpus, ask.gpus, ask.memory, ask.types, ask.zone, ask.spot,
        )  # fmt: skip
        found = p.options.get(key)
        if found is not None:
            return found
        found = p.options[key] = []
        for index, room in p.rooms.items():
            if index in p.held or not allowed(ask, room):
                continue
            victims = [
                (o, a) for o, a in self.fleet.by_index[index].entries.values()
                if a.stop_grace is None and not a.finished and self._may_stop(job, firm, o, beyond)
            ]  # fmt: skip
            if not victims:
                continue
            chosen, n = self._victims(ask, room, victims, ask.count, now)
            if n > 0:
                cost = sum(self._loss(o, a, now) for o, a in chosen) / n + STOCK_COST_S * room.stock
                found.append(Option(cost, index, n, chosen))
        return found

    def _charge(self, job: Job, chosen: list[tuple[Job, Active]], beyond: dict[int, Usage]) -> bool:
        """Book what other teams give back. False, and nothing booked, if it is more than they borrowed."""
        back: dict[int, Usage] = {}
        for o, _ in chosen:
            assert o.spec is not None
            if o.rank <= job.rank:
                u = back.setdefault(o.team, Usage())
                u.gpus += o.spec.gpus
                u.cpus += o.spec.cpus
        for team, u in back.items():
            have = beyond.get(team)
            if have is not None and (u.gpus > have.gpus + 1e-6 or (u.gpus == 0 and u.cpus > have.cpus + 1e-6)):
                return False
        for team, u in back.items():
            if team in beyond:
                beyond[team].gpus -= u.gpus
                beyond[team].cpus -= u.cpus
        return True

    def _units_if(self, ask: Ask, index: int, leaves: Callable[[Active, Job], bool]) -> int:
        """How many tasks fit once some of the machine's starts are gone."""
        m = self.fleet.by_index[index]
        room = replace(self.fleet.room(m))
        for o, a in m.entries.values():
            if o.spec is not None and leaves(a, o):
                room.cpus += o.spec.cpus
                room.gpus += o.spec.gpus
                room.memory += o.spec.memory
        return units(ask, room)

    def _loss(self, job: Job, a: Active, now: float) -> float:
        """What stopping a start costs, in seconds of somebody's time."""
        spec = job.spec
        if spec is None:
            return 0.0
        cost = 1.0 + spec.save_s
        ran = now - a.running_since if a.running_since >= 0 else 0.0
        if spec.checkpoint_s <= 0:
            cost += ran
        if a.running_since >= 0 and ran < SETTLED_S:
            # A start that is stopped this early was none: its user still waits.
            cost += SETTLED_S - ran
        if spec.gang:
            # All its tasks stop, and the next time it needs room for all of them at once.
            cost += 30.0 * len(job.active)
        return cost

    def _victims(
        self, ask: Ask, room: Room, victims: list[tuple[Job, Active]], want: int, now: float
    ) -> tuple[list[tuple[Job, Active]], int]:
        """The cheapest of the candidates that make room for at least one task."""
        victims = sorted(victims, key=lambda v: (-v[0].rank, self._loss(*v, now), -v[1].since))
        trial = Room(room.index, room.type, room.zone, room.spot, room.cpus, room.gpus, room.memory)
        had = units(ask, trial)
        chosen: list[tuple[Job, Active]] = []
        best, best_at = 0, 0
        for o, a in victims:
            assert o.spec is not None
            trial.cpus += o.spec.cpus
            trial.gpus += o.spec.gpus
            trial.memory += o.spec.memory
            chosen.append((o, a))
            n = units(ask, trial) - had
            if n > best:
                best, best_at = n, len(chosen)
                if best >= want:
                    break
        return chosen[:best_at], best


def needy(waiting: dict[str, Waiting]) -> list[Waiting]:
    """Waiting jobs in the order in which the cloud slice rents for them."""
    return sorted(waiting.values(), key=lambda w: (w.job.rank, w.job.arrival, w.job.ref))
