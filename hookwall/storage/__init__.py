"""Client of the consensus-backed key-value store, the only state that outlives a process.

Owns the requests to the store and their rate limits, the names of the stored keys, the encoding of job records and
their chunks, the watch on all keys, and the markers of which storage version every node's program knows.

State machines: the store as this node sees it is answering or failing (`client`); the key watch is loading or following
(`watch`); a storage version is unsupported until all nodes are marked with it, and supported from then on
(`storage_version`); limits that the settings announce are coming or in force (`rate_shares`).

Asks of others: a clock, the settings (`config`), the messages and the HTTP client (`protocol`), an observer of the
watched keys, and whoever stores a record to treat an unknown outcome as a write that may still happen.
"""
