"""Workers' reports: what they show of a machine and its tasks, and the commands that answer them."""

import logging
from typing import TYPE_CHECKING

from hookwall.jobs.job import OPEN, WITHDRAWN, Active, Job
from hookwall.protocol import heartbeat_messages
from hookwall.protocol.heartbeat_messages import Beat, Order
from hookwall.workers.machine import Machine, Phase

if TYPE_CHECKING:
    from hookwall.workers.fleet import Fleet

log = logging.getLogger(__name__)

MOST_ORDERS = 300
STOP_AGAIN_S = 1.5
UNANSWERED_S = 4.5  # a worker without an answer waits 4 s for it and reports, elsewhere, a second later


class ReportHandler:
    """Takes in reports for the leader's picture of the fleet."""

    def __init__(self, fleet: "Fleet") -> None:
        self.fleet = fleet

    def take(self, beat: Beat) -> list[Order] | None:
        """Take in a report and decide the answer's commands. None: too old to be answered."""
        now = self.fleet.clock()
        if beat.machine in self.fleet.deleted:
            return None  # a late copy must not bring back a machine that is gone
        machine = self.fleet.machine(beat.machine, beat.type, beat.zone, beat.spot)
        if (beat.tenure, beat.tick) <= (machine.tenure, machine.tick):
            return None
        if any(start.tenure > beat.tenure for _, start in machine.entries.values()):
            # A copy from before the tenure in which the records have started something there: a new
            # leader that had seen nothing newer took the difference for the end of those tasks.
            return None
        if machine.phase is Phase.BOOTING:
            machine.up_at = now
            machine.room = None
            self.fleet.hints.recall(machine)
            self.fleet.become(machine, Phase.UP, f"reports after {now - machine.known_at:.1f} s")
        self._listen(machine, beat, now)
        if beat.tenure > machine.tenure:
            machine.doubtful = False
            for job, start in list(machine.entries.values()):
                if start.tenure < beat.tenure:
                    self.fleet.drop(job, start, "a later tenure")
        machine.tenure, machine.tick, machine.token = beat.tenure, beat.tick, max(machine.token, beat.token)
        machine.answered = now
        if beat.notice_s is not None and machine.notice_at is None:
            machine.notice_at = now + beat.notice_s
            if machine.phase in (Phase.UP, Phase.SICK, Phase.DRAINING):
                self.fleet.become(machine, Phase.NOTICED, f"taken in {beat.notice_s:.1f} s")
        orders: list[Order] = []
        seen: set[tuple[str, int]] = set()
        unrecorded: set[tuple[str, int]] = set()
        for reported in beat.tasks:
            parts = heartbeat_messages.split_task(reported.piece)
            if parts is None:
                continue
            if self._reported(machine, parts, reported, orders, unrecorded, now):
                seen.add(parts)
        self.fleet.set_unrecorded(machine, unrecorded)
        current = beat.token == self.fleet.token
        for key, (job, start) in list(machine.entries.items()):
            if key not in seen:
                self._absent(machine, job, start, current, orders)
        if machine.phase is Phase.NOTICED:
            self._leave(machine, now)
        return orders[:MOST_ORDERS]

    def _listen(self, machine: Machine, beat: Beat, now: float) -> None:
        """Follow whether our answers reach the worker; while they don't it gets no new work.

        Its reports may arrive all the same, as may late copies of them, so that it looks alive while
        its lease runs out. What shows that an answer arrived is our token, in the tenure of the
        report before, and sooner than a worker reports that has waited for an answer in vain.
        """
        if beat.token != self.fleet.token or beat.tenure != machine.tenure:
            if machine.hears:
                log.info("machine %s reports, but seems not to get our answers", machine.name)
            # The first report of all: it has had no chance yet. A worker that has just begun, as one that
            # has seen no token has, is trusted to hear the answer, and finds its first tasks in the next:
            # half a second later instead of three, of the 60 in which urgent work is to begin.
            machine.hears = machine.tenure == 0 and beat.tenure == 1 and beat.token == 0
            if machine.tenure == 0:
                machine.heard_us_at = now
        elif now - machine.answered < UNANSWERED_S:
            machine.heard_us_at = now
            if machine.silent:
                log.info("machine %s reports again", machine.name)
                machine.silent = False
            if not machine.hears:
                machine.hears = True
                self.fleet.wake()

    def _reported(
        self,
        machine: Machine,
        key: tuple[str, int],
        reported: heartbeat_messages.TaskReport,
        orders: list[Order],
        unrecorded: set[tuple[str, int]],
        now: float,
    ) -> bool:
        """One task of a report. False if the worker knows nothing of the task once it has the answer."""
        entry = machine.entries.get(key)
        if entry is not None and entry[1].attempt != reported.attempt:
            entry = None  # the records name another start of this task
        if reported.phase == "exited":
            return self._reported_exit(machine, key, reported, entry, orders)
        if entry is None:
            unrecorded.add(key)
            orders.append(heartbeat_messages.stop(reported.piece, reported.attempt, 0.0))
            return True
        job, start = entry
        if reported.phase != start.phase:
            log.debug("%s attempt %d on %s: %s", reported.piece, reported.attempt, machine.name, reported.phase)
            start.phase = reported.phase
            if reported.phase in ("waiting", "running") and job.spec is not None:
                self.fleet.has_image(machine, job.image, job.spec.image_gb)
            if reported.phase == "running":
                start.running_since = now
            self.fleet.wake()
        if job.phase == WITHDRAWN:
            orders.append(heartbeat_messages.stop(reported.piece, reported.attempt, 0.0))
        elif start.stop_grace is not None and now - start.stop_sent > STOP_AGAIN_S and _heeds_stop(start, reported):
            start.stop_sent = now
            orders.append(heartbeat_messages.stop(reported.piece, reported.attempt, start.stop_grace))
        return True

    def _reported_exit(
        self,
        machine: Machine,
        key: tuple[str, int],
        reported: heartbeat_messages.TaskReport,
        entry: tuple[Job, Active] | None,
        orders: list[Order],
    ) -> bool:
        """A task of a report that has ended; `entry` is its start, if the records name it."""
        if entry is not None:
            self._exited(machine, entry[0], entry[1], reported.cause or "", reported.saved)
        job = self.fleet.table.jobs.get(key[0])
        if job is not None and job.stored_on.get(key[1]) == (machine.name, reported.attempt):
            return True
        # Only once the record no longer names this start: a leader that forgot it would
        # otherwise launch the same attempt again.
        orders.append(heartbeat_messages.forget(reported.piece, reported.attempt))
        return entry is not None

    def _absent(self, machine: Machine, job: Job, start: Active, current: bool, orders: list[Order]) -> None:
        """A start that the records name and the report does not."""
        wanted = job.phase == OPEN and start.stop_grace is None and not start.finished
        if not wanted or machine.phase is not Phase.UP or machine.name in self.fleet.cordoned:
            # The report answers none of our launches and the worker drops older leaders' answers.
            if current:
                self.fleet.drop(job, start, "not there")
            return
        if job.stored_on.get(start.task) != (machine.name, start.attempt):
            return
        if start.tenure != machine.tenure:
            self.fleet.drop(job, start, "another tenure")
            return
        if start.phase and current:
            # It was reported before and is not now, without having exited: it can't be there.
            self.fleet.drop(job, start, "vanished")
            return
        if job.may_launch(start):
            orders.append(heartbeat_messages.launch(job.ref, start.task, start.attempt))

    def _exited(self, machine: Machine, job: Job, start: Active, cause: str, saved: bool) -> None:
        if cause == "done":
            machine.errors = 0
            machine.room = None
            machine.error_jobs.clear()
            if job.spec is not None:
                self.fleet.has_image(machine, job.image, job.spec.image_gb)
                if job.spec.gang:
                    # A gang's tasks complete together.
                    for task in range(job.tasks):
                        job.mark_done(task)
                    for other in job.active.values():
                        other.finished = True
            job.mark_done(start.task)
        elif cause == "error":
            self._error(machine, job)
        elif cause == "full":
            machine.full_until = self.fleet.clock() + 4.0
        elif cause == "no_such":
            job.not_before = self.fleet.clock() + 5.0
        if cause not in ("done", "halted") and job.phase == OPEN:
            log.info("%s/%d attempt %d on %s ended: %s", job.ref, start.task, start.attempt, machine.name, cause)
        self.fleet.drop(job, start, cause)

    def _error(self, machine: Machine, job: Job) -> None:
        """A task failed: either the machine is faulty, or the job fails wherever it runs."""
        now = self.fleet.clock()
        job.errors[machine.name] = job.errors.get(machine.name, 0) + 1
        job.failed_at = now
        elsewhere = len(job.errors)
        if elsewhere >= 3:
            # Three machines have failed it; more tries cost others their machines.
            job.not_before = now + min(60.0, 2.0 ** min(elsewhere, 6))
            return
        machine.errors += 1
        machine.room = None
        machine.error_jobs.add(job.ref)
        if machine.phase is Phase.UP and (len(machine.error_jobs) >= 2 or machine.errors >= 2):
            self.fleet.become(machine, Phase.SICK, f"{machine.errors} errors in a row")

    def _leave(self, machine: Machine, now: float) -> None:
        """The machine will be taken: stop what can save, in time to save."""
        for job, start in machine.entries.values():
            spec = job.spec
            if spec is None or start.stop_grace is not None or spec.checkpoint_s <= 0:
                continue
            self.fleet.stop(job, start, spec.save_s + 0.5, "spot notice")


def _heeds_stop(start: Active, reported: heartbeat_messages.TaskReport) -> bool:
    """Whether a stop would change anything: a task that saves already only heeds one that gives it no more time."""
    return reported.phase != "saving" or start.stop_grace == 0.0
