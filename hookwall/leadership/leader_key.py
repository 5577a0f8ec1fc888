"""One node's view of the leader key in the key-value store.

The key names the node that leads and the mode in which that node is valid; the version of the key is the leader's
fencing token. Reads, the watch and full scans return the key, and their responses may arrive late or in any order.
Invariant: this view never goes back to an older revision of the store. The revision of a value is its version; the
revision of an absence is the revision at which the absence was observed.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Self

from hookwall.leadership.roles import LeaseMode

# Fields of the stored value.
LEADER_FIELD = "node"
INCARNATION_FIELD = "incarnation"
LEASE_MODE_FIELD = "mode"


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """The value of the leader key."""

    leader: str
    incarnation: object  # of the leader's process; None if it is not stored
    lease_mode: LeaseMode

    @classmethod
    def decode(cls, value: object) -> Self:
        """Decode a stored value; a missing or malformed field counts as not stored."""
        fields = value if isinstance(value, dict) else {}
        is_session_lease = fields.get(LEASE_MODE_FIELD) == LeaseMode.SESSION_LEASE.value
        return cls(
            leader=str(fields.get(LEADER_FIELD, "")),
            incarnation=fields.get(INCARNATION_FIELD),
            lease_mode=LeaseMode.SESSION_LEASE if is_session_lease else LeaseMode.QUORUM_LEASE,
        )

    def encode(self) -> dict[str, object]:
        """Return the value as it is stored."""
        return {
            LEADER_FIELD: self.leader,
            INCARNATION_FIELD: self.incarnation,
            LEASE_MODE_FIELD: self.lease_mode.value,
        }


class LeaderKey:
    """The newest state of the leader key that this node has observed."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.leader = ""
        self.version = 0  # 0: the key is absent
        self.lease_mode = LeaseMode.QUORUM_LEASE
        self.known = False
        self.revision = 0
        self.absent_since = clock()  # since when the key has been absent, as far as this node knows

    def observe(self, value: object, version: int, revision: int | None = None) -> bool:
        """Record the key as it was at a revision; version 0: absent. Return False if a newer state is already known.

        An absence without a revision counts as the newest state.
        """
        observed_revision = version or revision
        if observed_revision is not None:
            if observed_revision < self.revision:
                return False
            self.revision = observed_revision
        if not version and (self.version or not self.known):
            self.absent_since = self._clock()
        record = LeaderRecord.decode(value)
        self.leader = record.leader
        self.lease_mode = record.lease_mode
        self.version = version
        self.known = True
        return True

    def shows_no_other_leader(self, node_name: str) -> bool:
        """Whether the key shows that no node but this one can be valid.

        The key is absent, or it names an earlier process of this node, or it belongs to a leadership that this node
        gave up.
        """
        return self.known and (self.version == 0 or self.leader == node_name)
