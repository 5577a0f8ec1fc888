"""Autoscaling: computes how many machines are needed, and provisions and deletes machines at the cloud accordingly.

This package owns the machine inventory as the cloud lists it, the demand and its targets, the pools that refused a
request, and the provisioning requests without a final response. A provisioning request is pending until the cloud
answers it. A pool is either open, or closed until its backoff is over. The phases of a machine belong to `workers`,
where a single function changes them.

It depends on `scheduling` for the waiting jobs and the resources that they request, on `workers` for the machines, on
`protocol` for the cloud's messages, and on `drains` for the tasks that need capacity on other machines.
"""
