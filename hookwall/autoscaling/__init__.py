"""Autoscaling: how many machines are needed, and scaling out and in at the cloud to have them.

Owns the machine inventory as the cloud lists it, the demand and its targets, the pools that refused a request, and the
provisioning requests without a final response. A provisioning request is pending until the cloud answers it; a pool is
open, or closed until its backoff is over; a machine's own phases belong to `workers`, whose one function changes them.
It asks `scheduling` for the jobs that wait and what they request, `workers` for the machines, `protocol` for the
cloud's messages, and `drains` for what has to find capacity elsewhere.
"""
