"""Task ids in workers' heartbeats."""

from hookwall.protocol import heartbeat_messages


def test_a_task_id_is_parsed_into_job_and_number():
    assert heartbeat_messages.parse_task_id("run-000412/3") == ("run-000412", 3)
    assert heartbeat_messages.parse_task_id("run-000412") is None
    assert heartbeat_messages.parse_task_id("run-000412/x") is None
