"""The grace period of a graceful stop, in which a task may write its checkpoint.

Invariant: a task gets the same grace period whether a preemption notice, the scheduler or a drain stops it.
"""

from hookwall.protocol.job_messages import JobSpec

CHECKPOINT_MARGIN_S = 0.5  # in addition to the checkpoint time that the job states


def stop_grace_s(spec: JobSpec) -> float:
    """Return the seconds between the stop command and the end of the task; 0 if the job writes no checkpoints."""
    return spec.checkpoint_cost_s + CHECKPOINT_MARGIN_S if spec.checkpoint_interval_s > 0 else 0.0
