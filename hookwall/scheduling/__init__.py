"""Placement, quotas, preemption, and the scheduling round."""
