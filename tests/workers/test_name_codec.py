"""The compact encoding fits the names of thousands of machines into one key."""

import random

import pytest

from hookwall.storage import compression, job_records
from hookwall.storage.errors import MalformedRecordError
from hookwall.workers import name_codec

KEY_LIMIT = job_records.usable_value_bytes(2.0)  # when the key-value store has lowered its limits


@pytest.mark.parametrize("numbers", [range(4000), range(8000)])
def test_names_of_two_thousand_machines_fit_into_the_smallest_value(numbers):
    names = [f"vm-{n:06d}" for n in random.Random(5).sample(numbers, 2000)]
    value = name_codec.encode(names)
    assert sorted(name_codec.decode(value)) == sorted(names)
    assert job_records.json_bytes({"token": 10**9, "numbered": value}) <= KEY_LIMIT


def test_names_of_any_form_are_decoded_unchanged():
    names = ["vm-000001", "vm-1", "vm-01", "", "gpu", "rack-7/vm-3", "é-5", "7", "vm-" + "9" * 40]
    assert sorted(name_codec.decode(name_codec.encode(names))) == sorted(names)


def test_decoding_malformed_values_raises():
    valid = name_codec.encode(["vm-1", "vm-7"])
    descending = compression.compress_bytes(b"\x92\x05\x00")
    malformed = [None, [], {}, {"groups": [], "others": 1}, {**valid, "groups": [["vm-", 1]]}]
    malformed += [
        {**valid, "groups": [["vm-", 1, text]]} for text in ("nonsense", compression.compress("text"), descending)
    ]
    for value in malformed:
        with pytest.raises(MalformedRecordError):
            name_codec.decode(value)
