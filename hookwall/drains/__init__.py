"""Drains: graceful eviction of machines in steps, within each team's disruption budget.

Owns the records of drains, of cordoned machines and of disruptions (`records`, `drain_keys`), what every node knows of
them (`drain_subsystem`, `drain_table`), the leader's part (`controller`) and the operators' command.

State machines: a drain is requested, draining or stalled, then finished or aborted (`DrainPhase`); each of its machines
is cordoned, draining, empty, and then deleted or released (`StepPhase`). `DrainTransitions` makes every change by the
leader: it is stored before it is acted on, and disruptions before the commands that cause them.

| modules | duty |
| --- | --- |
| `drain_writer`, `drain_transitions` | the leader's conditional writes; each change stored, then carried out |
| `disruption_ledger`, `disruption_recorder` | what counts against the budgets, and what is entered there |
| `drain_plan`, `planner`, `capacity_reservation`, `wait_reasons` | the next steps, a pure function; why none |
| `planning_view`, `plan_builder` | what the planner needs to know, from the leader's memory, within a budget of time |
| `arguments`, `command_line`, `command`, `request`, `report` | the operators' command: arguments, checks, output |
| `cluster_snapshot`, `preview`, `lower_bound` | a read of the cluster, a drain played forward on it, the fewest waves |

Asks of others: the fleet (`workers`) to stop tasks and to tell of every disruption, the scheduler for the capacity that
evicted jobs need, who leads with which fencing token (`leadership`), the key-value store (`storage`), and from the node
whether every program knows drains and whether a machine is known to be deleted.
"""
