"""Drains: graceful eviction of machines in steps, within each team's disruption budget.

The package owns the records of drains, cordoned machines and disruptions (`records`, `drain_keys`), the copy of drains
and cordons that every node holds (`drain_subsystem`, `drain_table`), the leader's controller (`controller`) and the
operators' command.

State machines: a drain is requested, draining or stalled, then finished or aborted (`DrainPhase`). Each of its machines
is cordoned, draining, empty, and then deleted or released (`StepPhase`). `DrainTransitions` makes every change by the
leader: a change is stored before it is acted on, and a disruption is stored before the commands that cause it are sent.

| modules | responsibility |
| --- | --- |
| `drain_writer`, `drain_transitions` | the leader's conditional writes; each change is stored, then carried out |
| `disruption_ledger`, `disruption_recorder` | the disruptions that count against budgets, and recording them |
| `drain_plan`, `planner`, `capacity_reservation`, `wait_reasons` | a pure function: the next steps, or why to wait |
| `planning_view`, `plan_builder` | the planner's input, from the leader's memory, within a time limit |
| `arguments`, `command_line`, `command`, `request`, `report` | the operators' command: arguments, validation, output |
| `cluster_snapshot`, `preview`, `lower_bound` | a read of the cluster, a simulated drain on it, the fewest waves |

Dependencies: the fleet (`workers`) stops tasks and reports every disruption; the scheduler provides the capacity that
evicted jobs need; `leadership` provides the role and the fencing token; `storage` provides the key-value store. The
node tells whether the programs of all nodes support drains and whether a machine is confirmed to be deleted.
"""
