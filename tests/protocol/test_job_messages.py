"""Job submissions: malformed ones are refused, and no input crashes a handler."""

import json

import pytest
from conftest import description

from hookwall.protocol import job_messages, json_messages


def test_unknown_fields_of_a_submission_are_ignored():
    spec = job_messages.decode_job(json.dumps({**description(7), "extra": [1]}).encode())
    assert (spec.job_id, spec.gang, spec.gpus) == ("run-000007", False, 1.0)


@pytest.mark.parametrize(
    "changes",
    [
        {"ref": "job-1"}, {"ref": "run-1/2"}, {"pieces": 0}, {"pieces": 100_001}, {"pieces": 1.5}, {"cores": -1},
        {"cores": 1e300}, {"shape": "heap"}, {"rank": "top"}, {"samePlace": None}, {"hulls": "g8"}, {"bundle": ""},
        {"cores": 0.0, "cards": 0.0}, {"guessS": "long"},
    ],
)  # fmt: skip
def test_a_submission_with_an_invalid_field_is_malformed(changes):
    with pytest.raises(json_messages.MalformedMessageError):
        job_messages.decode_job(json.dumps({**description(), **changes}).encode())


@pytest.mark.parametrize("body", [b"", b"[]", b"3", b"{", b"\xff\xfe", b'{"ref":"run-1"}', b"[" * 3000])
def test_a_body_that_is_not_a_submission_is_malformed(body):
    with pytest.raises(json_messages.MalformedMessageError):
        job_messages.decode_job(body)


@pytest.mark.parametrize("name", sorted(description().keys() - {"hulls", "yard", "dueS"}))
def test_a_submission_without_a_required_field_is_malformed(name):
    submission = description()
    del submission[name]
    with pytest.raises(json_messages.MalformedMessageError):
        job_messages.decode_job(json.dumps(submission).encode())
