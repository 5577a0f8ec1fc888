"""How long a task that is stopped in order may take to write its checkpoint.

Invariant: whoever stops a task (a preemption notice, the scheduler, a drain) gives it the same grace.
"""

from hookwall.protocol.job_messages import JobSpec

CHECKPOINT_MARGIN_S = 0.5  # beside the time that the job states for a checkpoint


def stop_grace_s(spec: JobSpec) -> float:
    """Seconds between the stop command and the end of the task; 0 for a job that writes no checkpoints."""
    return spec.checkpoint_cost_s + CHECKPOINT_MARGIN_S if spec.checkpoint_interval_s > 0 else 0.0
