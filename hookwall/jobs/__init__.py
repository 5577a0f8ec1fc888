"""Jobs as they are stored and as the leader has changed them since.

Owns the table of all jobs, the graph of dependencies between them, the writes of the leader's decisions, and the
ledger of cancellations. The state machine is that of a job's phase: open, then done or cancelled, and final once
stored. Asks of others: the key-value store's client and record encoding (`storage`), who leads and with which fencing
token (`leadership`), and the keys of the lease delegates as preconditions of each write.
"""
