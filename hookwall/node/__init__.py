"""Composition of one controller node: builds every subsystem, routes stored changes to them, runs their loops.

The only state that the package itself owns is whether the catalog was absent when this node became leader.
`composition` builds the subsystems in a fixed order, `node` runs the process, `key_dispatch` passes each change of a
stored key to the subsystem that owns the key, `peer_exchange` defines what nodes exchange with each other, `round_loop`
runs scheduling rounds while this node leads, and `supervision` restarts a loop that failed.
"""
