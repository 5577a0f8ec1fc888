"""What one node knows of the leader key in the state service.

The key names the node that leads and the mode in which it is valid; its stamp is the leader's token. Reads, the
watch and full scans tell of it, and their answers may come late or in any order, so everything counts from its
position in the service's sequence of changes: a value from its stamp, an absence from the change at which it was seen.
"""

from collections.abc import Callable

from hookwall.leadership.roles import LeaseMode


class LeaderKey:
    """The newest state of the key that this node has seen."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.leader = ""
        self.version = 0  # 0: there is no key
        self.lease_mode = LeaseMode.QUORUM_LEASE
        self.known = False
        self.revision = 0
        self.absent_since = clock()  # since when there has been no key, as far as this node knows

    def observe(self, value: object, stamp: int, position: int | None = None) -> bool:
        """The key as it was at a position; stamp 0: absent. False if something newer is known.

        Without a position an absence is taken to be the newest state.
        """
        position = stamp or position
        if position is not None:
            if position < self.revision:
                return False
            self.revision = position
        fields = value if isinstance(value, dict) else {}
        if not stamp and (self.version or not self.known):
            self.absent_since = self.clock()
        self.leader, self.version, self.known = str(fields.get("node", "")), stamp, True
        self.lease_mode = (
            LeaseMode.SESSION_LEASE if fields.get("mode") == LeaseMode.SESSION_LEASE.value else LeaseMode.QUORUM_LEASE
        )
        return True

    def shows_no_other_leader(self, me: str) -> bool:
        """Whether the key shows that no other node can be valid.

        It is gone, or it names an earlier process of this node, or a leadership that it gave up.
        """
        return self.known and (self.version == 0 or self.leader == me)
