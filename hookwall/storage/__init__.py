"""Client of the consensus-backed key-value store, the only state that outlives a process.

Owns the requests to the store and their rate limits, the names of the stored keys, the encoding of job records and
their chunks, the watch on all keys, and the markers that state which storage version each node's program supports.

State machines: the store is answering or failing, as seen by this node (`client`); the key watch is loading or
following (`watch`); a storage version is unsupported until all nodes are marked with it, and supported from then on
(`storage_version`); limits that the settings announce are upcoming or in force (`rate_shares`).

Requires a clock, the settings (`config`), the messages and the HTTP client (`protocol`), and an observer of the watched
keys. Callers that store a record must treat an unknown outcome as a write that may still be executed.
"""
