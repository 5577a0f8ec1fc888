"""Well-formed and malformed responses of the key-value store, and the size limits of writes."""

import asyncio

import pytest
from conftest import FakeClock
from key_value_stub import LOWER_LIMITS, store_with

from hookwall.config.platform import PlatformParameters, StoreLimits
from hookwall.protocol.errors import NoResponseError
from hookwall.storage.client import KeyValueClient
from hookwall.storage.errors import OutcomeUnknownError, RequestRejectedError, RequestTooLargeError


@pytest.mark.parametrize(
    ("response", "error"),
    [
        ((200, b"[]"), OutcomeUnknownError),
        ((200, b"{oops"), OutcomeUnknownError),
        ((200, b"{}"), OutcomeUnknownError),
        ((200, b'{"epoch":"x"}'), OutcomeUnknownError),
        ((500, b"{}"), OutcomeUnknownError),
        ((503, b""), RequestRejectedError),
        ((429, b"{}"), RequestRejectedError),
        (None, OutcomeUnknownError),
    ],
)
def test_an_unusable_response_raises_rejected_or_outcome_unknown(
    params: PlatformParameters, clock: FakeClock, response, error
):
    async def send_request(session, method, url, body, timeout):
        if response is None:
            raise NoResponseError("TimeoutError")
        return response

    store = KeyValueClient("h:1", params.state, 3, clock, send_request)
    with pytest.raises(error):
        asyncio.run(store.commit([("a", 0)], [("a", {})]))
    with pytest.raises(error):
        asyncio.run(store.scan("a"))


def test_malformed_entries_of_a_page_are_skipped(params: PlatformParameters, clock: FakeClock):
    page = b'{"epoch":4,"entries":[3,{"k":"a","stamp":2,"value":1},{"k":5},{}],"more":false}'
    assert asyncio.run(store_with(params.state, clock, (200, page)).scan("a")) == ([("a", 1, 2)], 4)


def test_writes_fit_both_the_current_and_the_announced_limits(clock: FakeClock):
    store = store_with(LOWER_LIMITS, clock)
    store.rate_shares.set_leading(True)
    assert store.max_transaction_changes == 4 and store.batch_size() <= 4 and store.max_value_bytes < 2048
    assert store_with(StoreLimits(100.0, 30.0, 16.0, 12), clock).max_transaction_changes == 12


def test_status_400_for_an_ended_lease_differs_from_status_400_for_size(clock: FakeClock):
    responses = ((400, b'{"error":"no such lease"}'), (400, b'{"error":"size"}'))
    store = store_with(LOWER_LIMITS, clock, *responses)
    with pytest.raises(OutcomeUnknownError):
        asyncio.run(store.commit([], [("k", 1)], session_lease=7))
    assert not store.rate_shares.limits_lowered
    with pytest.raises(RequestTooLargeError):
        asyncio.run(store.commit([], [("k", 1)]))
    assert store.rate_shares.limits_lowered
