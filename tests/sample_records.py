"""A job record that is stored in chunks, for several tests."""

import msgspec
from conftest import description

from hookwall.protocol.job_messages import JobSpec
from hookwall.storage import keys
from hookwall.storage.job_records import EncodedRecord, JobRecord, encode_record

MAX_VALUE_BYTES = 1700


def chunked_record() -> tuple[str, EncodedRecord]:
    """Return the key and the encoded record of an accepted job that is stored in chunks: it has 300 dependencies."""
    spec = msgspec.convert(description(1, awaits=[f"run-{n * 7919:018d}" for n in range(300)]), JobSpec)
    record = JobRecord(task_count=1, spec=spec, submitted_at=1.0, done_tasks="")
    return keys.JOB_PREFIX + spec.job_id, encode_record(spec.job_id, record, MAX_VALUE_BYTES)
