"""The only commands that a node sends for a leader that workers can't reach: stops of cancelled jobs' tasks."""

from collections.abc import Callable

from hookwall.protocol import heartbeat_messages
from hookwall.protocol.heartbeat_messages import Command, Heartbeat


def stop_commands(heartbeat: Heartbeat, is_cancelled: Callable[[str], bool]) -> list[Command]:
    """Return stop commands for the reported tasks of cancelled jobs; `is_cancelled` is asked with a job's id."""
    commands = []
    for status in heartbeat.tasks:
        task_id = heartbeat_messages.parse_task_id(status.task_id)
        if task_id is not None and is_cancelled(task_id.job_id) and status.phase != "exited":
            commands.append(heartbeat_messages.stop_command(status.task_id, status.attempt, 0.0))
    return commands
