"""Jobs as they are stored and as the leader has changed them since.

Contains the table of all jobs, the graph of dependencies between them, the writer of the leader's decisions, and the
ledger of cancellations. The phase of a job is a state machine: a job is open, then done or cancelled; the last two
phases are final once stored. Depends on the key-value store's client and record encoding (`storage`), on the current
leader and its fencing token (`leadership`), and on the keys of the lease delegates, which are preconditions of each
write.
"""
