"""The session lease in the key-value store to which the leader key is attached, and its renewal.

Invariant: by the leader's own count the lease ends before it does in the store, since the leader counts it from sending
the last renewal that succeeded, less the clock drift.
"""

import logging

from hookwall.config.clock_bounds import MAX_CLOCK_DRIFT
from hookwall.leadership.leadership_state import LeadershipState
from hookwall.leadership.roles import LeaseMode
from hookwall.storage.client import KeyValueClient
from hookwall.storage.errors import OutcomeUnknownError, RequestRejectedError

log = logging.getLogger(__name__)

LONG_SESSION_LEASE_S = 60.0
SHORT_SESSION_LEASE_S = 8.0
RENEWAL_PERIOD_S = {LeaseMode.QUORUM_LEASE: 5.0, LeaseMode.SESSION_LEASE: 2.0}
RENEWAL_RETRY_S = 1.0


def session_lease_s(mode: LeaseMode) -> float:
    """Return how long the leader key outlives its leader's last renewal, in seconds."""
    return LONG_SESSION_LEASE_S if mode is LeaseMode.QUORUM_LEASE else SHORT_SESSION_LEASE_S


def session_lease_end(requested_at: float, mode: LeaseMode) -> float:
    """Return until when a leader may rely on a session lease that it requested or renewed at `requested_at`."""
    return requested_at + session_lease_s(mode) * (1 - MAX_CLOCK_DRIFT)


async def revoke_session_lease(store: KeyValueClient, lease: int) -> bool:
    """Revoke a session lease, which deletes its keys; return False if it may not have been revoked."""
    try:
        await store.revoke_session_lease(lease)
    except (RequestRejectedError, OutcomeUnknownError) as error:
        log.debug("session lease not revoked: lease=%d error=%s", lease, error)
        return False
    return True


class SessionLeaseRenewal:
    """Renews the leader's session lease at the period of its lease mode."""

    def __init__(self, state: LeadershipState, store: KeyValueClient) -> None:
        self._state = state
        self._store = store

    async def renew_if_due(self, now: float) -> None:
        """Renew the lease if the renewal period has passed; step down if the lease has ended."""
        state = self._state
        period_s = RENEWAL_PERIOD_S[state.lease_mode]
        if now - state.session_lease_renewed_at < period_s or state.session_lease is None:
            return
        state.session_lease_renewed_at = now
        try:
            renewed = await self._store.renew_session_lease(state.session_lease)
        except (RequestRejectedError, OutcomeUnknownError):
            state.session_lease_renewed_at = now - period_s + RENEWAL_RETRY_S
            return
        if renewed:
            state.report_validity_lapse()
            state.session_lease_until = session_lease_end(now, state.lease_mode)
        else:
            state.step_down("the session lease has ended")
