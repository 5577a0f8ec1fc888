"""The leader's conditional writes of drains.

Invariant: the preconditions of every write include the leader key and the keys that it changes, and the copy in memory
changes only after the write has succeeded. If the watch has delivered a newer change of the key by then, the copy keeps
the newer state.
"""

from collections.abc import Sequence

from hookwall.drains import drain_keys, records
from hookwall.drains.disruption_ledger import DisruptionLedger
from hookwall.drains.drain_table import DrainTable
from hookwall.drains.records import DisruptionPage, DrainRecord, StepRecord
from hookwall.leadership.leadership import Leadership
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient
from hookwall.storage.entries import Precondition, Put
from hookwall.storage.key_order import KeyOrder, read_ordered

ABSENT = 0  # the version of a key that does not exist


class DrainWriter:
    """Writes drains, steps and the ledger as the leader.

    Each write raises PreconditionFailedError if a key was changed concurrently, RequestRejectedError if the write was
    not executed, and OutcomeUnknownError if the write may have been executed.
    """

    def __init__(
        self,
        table: DrainTable,
        ledger: DisruptionLedger,
        store: KeyValueClient,
        leadership: Leadership,
        key_order: KeyOrder,
    ) -> None:
        """Create a writer that writes to `store` with the fencing token of `leadership`."""
        self.table = table
        self.store = store
        self.leadership = leadership
        self.key_order = key_order
        self._ledger = ledger

    async def _commit(self, preconditions: list[Precondition], put: Sequence[Put], delete: Sequence[str] = ()) -> int:
        """Commit a write that only the current leader can make, and return the revision that it gets from the store."""
        if not put and not delete:
            return 0
        leader_unchanged = Precondition(keys.LEADER_KEY, self.leadership.fencing_token)
        return await self.store.commit([leader_unchanged, *preconditions], put, delete=delete)

    def _drain_unchanged(self, name: str) -> Precondition:
        return Precondition(drain_keys.drain_key(name), self.table.drains[name].version)

    def _step_unchanged(self, machine: str) -> Precondition:
        known = self.table.steps.get(machine)
        return Precondition(drain_keys.step_key(machine), ABSENT if known is None else known.version)

    async def write_drain(self, name: str, record: DrainRecord) -> None:
        """Replace a drain."""
        put = [Put(drain_keys.drain_key(name), records.encode(record))]
        version = await self._commit([self._drain_unchanged(name)], put)
        self._set_drain(name, record, version)

    async def write_step(self, name: str, machine: str, record: StepRecord) -> None:
        """Replace or create a machine's step."""
        preconditions = [self._drain_unchanged(name), self._step_unchanged(machine)]
        put = [Put(drain_keys.step_key(machine), records.encode(record))]
        version = await self._commit(preconditions, put)
        if self.key_order.admit(drain_keys.step_key(machine), version):
            self.table.set_step(machine, record, version)

    async def remove_machines(self, name: str, machines: Sequence[str], record: DrainRecord) -> None:
        """Replace a drain by `record`, which is without these machines, and delete the machines' steps."""
        steps_of_drain = self.table.steps_of(name)
        steps = [machine for machine in machines if machine in steps_of_drain]
        preconditions = [self._drain_unchanged(name), *map(self._step_unchanged, steps)]
        put = [Put(drain_keys.drain_key(name), records.encode(record))]
        version = await self._commit(preconditions, put, [drain_keys.step_key(machine) for machine in steps])
        self._set_drain(name, record, version)
        for machine in steps:
            self._remove_step(machine, version)

    async def uncordon(self, name: str, machine: str) -> None:
        """Delete a machine's step, which puts the machine back in service. The drain itself may have been deleted."""
        preconditions = [self._step_unchanged(machine)]
        if name in self.table.drains:
            preconditions.append(self._drain_unchanged(name))
        revision = await self._commit(preconditions, [], [drain_keys.step_key(machine)])
        self._remove_step(machine, revision)

    def _set_drain(self, name: str, record: DrainRecord, version: int) -> None:
        """Apply a drain that was written, unless a newer state of it is known."""
        if self.key_order.admit(drain_keys.drain_key(name), version):
            self.table.set_drain(name, record, version)

    def _remove_step(self, machine: str, revision: int) -> None:
        """Apply the deletion of a step, unless a newer state of it is known."""
        if self.key_order.admit(drain_keys.step_key(machine), revision):
            self.table.remove_step(machine)

    async def write_ledger(self) -> None:
        """Store the changed pages of the ledger, as many in each transaction as the store allows."""
        pages_at_once = max(1, self.store.batch_size() - 1)
        dirty = self._ledger.dirty_pages()
        for first in range(0, len(dirty), pages_at_once):
            await self._write_pages(dirty[first : first + pages_at_once])

    async def _write_pages(self, numbers: list[int]) -> None:
        pages = {number: self._ledger.pages[number] for number in numbers}
        preconditions: list[Precondition] = []
        put: list[Put] = []
        delete: list[str] = []
        for number, page in pages.items():
            key = drain_keys.page_key(number)
            preconditions.append(Precondition(key, page.version))
            if page.entries:
                put.append(Put(key, records.encode(DisruptionPage(entries=page.entries))))
            elif page.version:
                delete.append(key)
            page.dirty = False  # a change during the request sets this again, and the next request writes it
        try:
            version = await self._commit(preconditions, put, delete)
        except Exception:
            for page in pages.values():
                page.dirty = True
            raise
        written = {key for key, _ in put}
        for number in pages:
            is_written = drain_keys.page_key(number) in written
            self._ledger.record_page_version(number, version if is_written else ABSENT)

    async def reread(self, changed_keys: Sequence[str]) -> None:
        """Read the keys again whose versions were not the expected ones."""
        for key in changed_keys:
            if key.startswith(keys.DISRUPTION_PREFIX):
                self._adopt_page_version(key, (await self.store.read(key)).version)
            elif drain_keys.is_drain_key(key):
                await self._reread_record(key)

    async def _reread_record(self, key: str) -> None:
        """Read a drain or a step again."""
        stored = await read_ordered(self.store, self.key_order, key)
        if stored is None:
            return
        if stored.version:
            self.table.apply_key(key, stored.value, stored.version)
        else:
            self.table.apply_deletion(key, stored.revision)

    def _adopt_page_version(self, key: str, version: int) -> None:
        """Adopt the stored version of a page after a write without a response.

        The entries in memory are newer, and overwrite the stored ones.
        """
        page = self._ledger.pages.get(int(key.removeprefix(keys.DISRUPTION_PREFIX)))
        if page is not None:
            page.version = version
            page.dirty = True
