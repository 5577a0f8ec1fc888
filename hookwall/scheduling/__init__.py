"""Scheduling: which machines a waiting job gets, and which tasks are preempted for it.

This package owns the queue of waiting jobs, the teams' quotas, the machine reservations and the scheduling round that
decides on all of them. It has no state machine of its own: a round moves tasks from pending to allocated in memory, in
`jobs`, and marks allocations that are to stop; this package sends and writes nothing. It asks `workers` (the fleet) for
the free capacity of each machine and to stop allocations, `jobs` for the open jobs, and the job writer to store the
outcome before any task is launched. Only `placement` is pure: it does bin packing and changes no state.
"""
