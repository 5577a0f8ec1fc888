"""Scheduling: which waiting job gets which machines, and whose tasks are preempted for it.

Owns the queue of waiting jobs, the quotas of teams, the reservations of machines and the round that decides on all of
them. It has no state machine of its own: a round moves tasks from pending to allocated in memory, in `jobs`, and marks
allocations that are to stop; nothing is sent or written here. It asks `workers` (the fleet) for the free capacity of
each machine and for the stop of an allocation, `jobs` for the open jobs, and the writer of jobs to store the outcome
before anything is launched. `placement` alone is pure: bin packing that changes nothing.
"""
