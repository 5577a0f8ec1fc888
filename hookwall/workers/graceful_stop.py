"""The grace period of a graceful stop, in which a task may write its checkpoint.

Invariant: a task gets the same grace period whether a preemption notice, the scheduler or a drain stops it.
"""

from hookwall.protocol.job_messages import JobSpec

MAX_CHECKPOINT_S = 300.0  # a stop does not wait for longer checkpoints, since other work waits for the machine
CHECKPOINT_MARGIN_S = 0.5  # in addition to the checkpoint time that the job states


def stop_grace_s(spec: JobSpec) -> float:
    """Return the seconds between the stop command and the end of the task; 0 if no checkpoint is waited for."""
    if spec.checkpoint_interval_s <= 0 or spec.checkpoint_cost_s > MAX_CHECKPOINT_S:
        return 0.0
    return spec.checkpoint_cost_s + CHECKPOINT_MARGIN_S
