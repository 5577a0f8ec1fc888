"""What the leader stores about drains: every write is conditional on the leader key and on what it changes."""

from collections.abc import Sequence

from hookwall.drains import records
from hookwall.drains.drain_table import DrainTable
from hookwall.drains.ledger import Ledger
from hookwall.drains.records import DisruptionPage, DrainRecord, StepRecord
from hookwall.leadership.state_machine import Leadership
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient

Condition = tuple[str, int]
Put = tuple[str, object]


class DrainWrites:
    """Writes, and then changes what is known here to what was written."""

    def __init__(self, table: DrainTable, ledger: Ledger, store: KeyValueClient, leadership: Leadership) -> None:
        self.table, self._ledger, self.store, self.leadership = table, ledger, store, leadership

    async def _commit(self, when: list[Condition], put: Sequence[Put], delete: Sequence[str] = ()) -> int:
        """A write that only the leader of now can make."""
        if not put and not delete:
            return 0
        return await self.store.commit([(keys.LEADER_KEY, self.leadership.fencing_token), *when], put, delete=delete)

    def _drain_as_known(self, name: str) -> Condition:
        return records.drain_key(name), self.table.drains[name].stamp

    def _step_as_known(self, machine: str) -> Condition:
        known = self.table.steps.get(machine)
        return records.step_key(machine), 0 if known is None else known.stamp

    async def drain(self, name: str, record: DrainRecord) -> None:
        """Replace a drain."""
        put = [(records.drain_key(name), records.encode(record))]
        self.table.put_drain(name, record, await self._commit([self._drain_as_known(name)], put))

    async def step(self, name: str, machine: str, record: StepRecord) -> None:
        """Replace a machine's step, or create it."""
        when = [self._drain_as_known(name), self._step_as_known(machine)]
        put = [(records.step_key(machine), records.encode(record))]
        self.table.put_step(machine, record, await self._commit(when, put))

    async def leave(self, name: str, machines: Sequence[str], record: DrainRecord) -> None:
        """Replace a drain by one without these machines, and delete their steps."""
        own = self.table.steps_of(name)
        steps = [machine for machine in machines if machine in own]
        when = [self._drain_as_known(name), *map(self._step_as_known, steps)]
        put = [(records.drain_key(name), records.encode(record))]
        stamp = await self._commit(when, put, [records.step_key(machine) for machine in steps])
        self.table.put_drain(name, record, stamp)
        for machine in steps:
            self.table.lift(machine)

    async def lift(self, name: str, machine: str) -> None:
        """Delete a machine's step: it is in service again. The drain may be gone."""
        when = [self._step_as_known(machine)]
        if name in self.table.drains:
            when.append(self._drain_as_known(name))
        await self._commit(when, [], [records.step_key(machine)])
        self.table.lift(machine)

    async def ledger_pages(self) -> None:
        """Store the pages of the ledger that have changed, as many at a time as a transaction may."""
        most = max(1, self.store.batch_size() - 1)
        dirty = self._ledger.dirty()
        for at in range(0, len(dirty), most):
            await self._pages(dirty[at : at + most])

    async def _pages(self, numbers: list[int]) -> None:
        pages = {number: self._ledger.pages[number] for number in numbers}
        when: list[Condition] = []
        put: list[Put] = []
        delete: list[str] = []
        for number, page in pages.items():
            key = records.page_key(number)
            when.append((key, page.stamp))
            if page.entries:
                put.append((key, records.encode(DisruptionPage(entries=page.entries))))
            elif page.stamp:
                delete.append(key)
            page.dirty = False  # what changes during the request is written by the next one
        try:
            stamp = await self._commit(when, put, delete)
        except Exception:
            for page in pages.values():
                page.dirty = True
            raise
        written = {key for key, _ in put}
        for number in pages:
            self._ledger.stored(number, stamp if records.page_key(number) in written else 0)

    async def refresh(self, failed: Sequence[str]) -> None:
        """Read again the keys that were not as they were thought to be."""
        for key in failed:
            if not self.table.follows(key):
                continue
            state = await self.store.read(key)
            if key.startswith(keys.DISRUPTION_PREFIX):
                page = self._ledger.pages.get(int(key.removeprefix(keys.DISRUPTION_PREFIX)))
                if page is not None:  # an earlier write without an answer; what is here is newer
                    page.stamp, page.dirty = state.version, True
            elif state.version:
                self.table.take(key, state.value, state.version)
            else:
                self.table.remove(key, state.revision)
