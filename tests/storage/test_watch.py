"""The events that the watch passes to its observer."""

import asyncio
import json

import pytest
from conftest import FakeClock
from key_value_stub import store_with

from hookwall.config.platform import PlatformParameters
from hookwall.storage.entries import ChangeBatch
from hookwall.storage.errors import OutcomeUnknownError, RequestRejectedError
from hookwall.storage.watch import Watch, WatchProgress


class RecordingObserver:
    """Records the events that it receives; a full read ends at revision 5."""

    def __init__(self, progress: WatchProgress) -> None:
        self.progress = progress
        self.events: list[tuple] = []

    async def read_all(self) -> None:
        self.events.append(("read all",))
        self.progress.watched_revision = 5
        self.progress.loaded = True

    def apply_key(self, key: str, value: object, version: int) -> None:
        self.events.append(("set", key, value, version))

    def apply_deletion(self, key: str, revision: int) -> None:
        self.events.append(("deleted", key, revision))

    def confirm_current(self, as_of: float) -> None:
        self.events.append(("current", as_of))

    def is_leader(self) -> bool:
        return True

    async def on_watch_stalled(self) -> None:
        self.events.append(("stalled",))


def run_watch(params: PlatformParameters, clock: FakeClock, *responses: tuple[int, bytes]):
    """Run the watch until the responses are used up; return its progress and the events of its observer."""
    progress = WatchProgress()
    observer = RecordingObserver(progress)
    watch = Watch(store_with(params.state, clock, *responses), progress, observer, clock)
    with pytest.raises(IndexError):
        asyncio.run(watch.run())
    return progress, observer.events


def test_changes_are_delivered_in_order_and_malformed_changes_are_skipped(params: PlatformParameters, clock: FakeClock):
    log = [
        {"set": "a", "value": 1, "stamp": 6},
        3,
        {"set": "b", "stamp": "6"},
        {"stamp": 6},
        {"delete": "a", "stamp": 7},
    ]
    progress, events = run_watch(params, clock, (200, json.dumps({"epoch": 8, "log": log}).encode()))
    assert events == [("read all",), ("set", "a", 1, 6), ("deleted", "a", 7), ("current", clock())]
    assert progress.known_revision() == 8


def test_all_keys_are_read_again_after_the_store_compacted_changes(params: PlatformParameters, clock: FakeClock):
    responses = ((200, b'{"epoch":9,"log":[]}'), (410, b"{}"), (200, b'{"epoch":6,"log":[]}'))
    progress, events = run_watch(params, clock, *responses)
    assert events == [("read all",), ("current", clock()), ("read all",), ("current", clock())]
    assert progress.watched_revision == 6


class SilentStore:
    """A store whose watch requests fail, each after `duration_s`, while it answers other requests or does not."""

    def __init__(self, clock: FakeClock, duration_s: float, answers_others: bool, error: Exception) -> None:
        self.clock, self.duration_s, self.answers_others, self.error = clock, duration_s, answers_others, error
        self.last_response_at = clock()
        self.requests = 0

    async def read_changes(self, after: int, wait_s: float) -> ChangeBatch:
        self.requests += 1
        if self.requests > 6:
            raise asyncio.CancelledError
        self.clock.advance(self.duration_s)
        if self.answers_others:
            self.last_response_at = self.clock()
        raise self.error


NO_RESPONSE = OutcomeUnknownError("no response")
REJECTED = RequestRejectedError("own rate limit")


@pytest.mark.parametrize(
    ("duration_s", "answers_others", "error", "stalls"),
    [
        (6.0, True, NO_RESPONSE, 2),
        (6.0, False, NO_RESPONSE, 0),  # an outage
        (6.0, True, REJECTED, 0),
        (0.1, True, NO_RESPONSE, 0),  # too short a time
    ],
)
def test_a_watch_is_stalled_if_only_its_requests_get_no_response(
    clock: FakeClock, monkeypatch: pytest.MonkeyPatch, duration_s: float, answers_others: bool, error: Exception, stalls
):
    """Guards against a leader that resigns in an outage, and against one that never learns of any change."""
    monkeypatch.setattr("hookwall.storage.watch.RETRY_S", 0.0)
    progress = WatchProgress()
    observer = RecordingObserver(progress)
    watch = Watch(SilentStore(clock, duration_s, answers_others, error), progress, observer, clock)
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(watch.run())
    assert observer.events.count(("stalled",)) == stalls
