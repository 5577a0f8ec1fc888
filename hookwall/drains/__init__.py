"""Draining machines in steps, within each team's disruption budget.

| module | duty |
| --- | --- |
| `records` | drains, steps and disruptions as they are stored |
| `drain_table`, `drain_writes` | what a node knows of them, and the leader's conditional writes |
| `ledger`, `disruptions` | which jobs are disrupted, and what that leaves of each team's budget; what enters them |
| `planner` | which machines next, which jobs are stopped there, and why not: a pure function |
| `picture`, `plan_builder` | what the planner needs to know, from the leader's memory, within a budget of time |
| `drain_subsystem` | what a node has of this package before there is any drain |
| `controller` | the leader's loop: it stores each step before it acts on it |
| `arguments`, `command`, `request`, `report` | the operators' command: its words, checks and output |
| `snapshot`, `preview`, `bound` | a read of the cluster, a drain played forward on it, and the fewest waves |
"""
