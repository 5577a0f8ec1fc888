"""Request and response bodies of the key-value store; the store's own field names appear only in this module.

Unreadable entries of a response are skipped, as the store may extend its responses.
"""

from collections.abc import Iterable, Mapping, Sequence

from hookwall.storage.entries import DeletedKey, KeyValueEntry

KEY = "k"
VALUE = "value"
VERSION = "stamp"
REVISION = "epoch"
SESSION_LEASE = "hold"
SESSION_LEASE_TTL_MS = "ttlMs"
PRECONDITIONS = "when"
CHANGES = "apply"
SET_KEY = "set"
DELETE_KEY = "delete"
CHANGED_KEYS = "failed"
ENTRIES = "entries"
MORE_PAGES = "more"
CHANGE_LOG = "log"
ERROR = "error"
ERROR_NO_SUCH_LEASE = "no such lease"

PAGE_ENTRIES = 1000  # entries per page of a scan


def transaction(
    preconditions: Sequence[tuple[str, int]],
    puts: Sequence[tuple[str, object]],
    deletes: Sequence[str],
    session_lease: int | None,
) -> dict[str, object]:
    """Build the body of a transaction, or of a comparison of versions if there are no puts and deletes."""
    body: dict[str, object] = {PRECONDITIONS: [{KEY: key, VERSION: version} for key, version in preconditions]}
    if puts or deletes:
        lease = {} if session_lease is None else {SESSION_LEASE: session_lease}
        sets: list[dict[str, object]] = [{SET_KEY: key, VALUE: value, **lease} for key, value in puts]
        body[CHANGES] = sets + [{DELETE_KEY: key} for key in deletes]
    return body


def scan_path(prefix: str, after: str) -> str:
    """The path of one page of the keys below a prefix; `after` is the last key of the previous page, or empty."""
    return f"/store?under={prefix}&most={PAGE_ENTRIES}" + (f"&after={after}" if after else "")


def changes_path(prefix: str, after: int, wait_s: float) -> str:
    """The path of the changes below a prefix since a revision; the store waits up to `wait_s` seconds for one."""
    return f"/changes?under={prefix}&after={after}&blockMs={int(wait_s * 1000)}"


def parse_entries(raw: Iterable[object]) -> list[KeyValueEntry]:
    """Parse the entries of a page; unreadable entries are skipped."""
    return [
        KeyValueEntry(entry[KEY], entry.get(VALUE), entry[VERSION])
        for entry in raw
        if isinstance(entry, dict) and isinstance(entry.get(KEY), str) and isinstance(entry.get(VERSION), int)
    ]


def parse_changes(raw: Iterable[object]) -> list[KeyValueEntry | DeletedKey]:
    """Parse the changes of a change log; unreadable changes are skipped."""
    parsed = (_parse_change(entry) for entry in raw if isinstance(entry, dict))
    return [change for change in parsed if change is not None]


def _parse_change(entry: Mapping[str, object]) -> KeyValueEntry | DeletedKey | None:
    revision = entry.get(VERSION)
    set_key = entry.get(SET_KEY)
    deleted_key = entry.get(DELETE_KEY)
    if not isinstance(revision, int):
        return None
    if isinstance(set_key, str):
        return KeyValueEntry(set_key, entry.get(VALUE), revision)
    if isinstance(deleted_key, str):
        return DeletedKey(deleted_key, revision)
    return None


def parse_changed_keys(raw: Iterable[object]) -> list[str]:
    """Parse the keys whose preconditions failed in a transaction."""
    return [key for key in raw if isinstance(key, str)]
