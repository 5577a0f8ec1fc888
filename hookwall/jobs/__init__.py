"""Jobs as stored and as the leader has changed them, their dependencies, writes and cancellations."""
