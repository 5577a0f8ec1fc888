"""Composition of one controller node: it builds every subsystem, routes stored changes to them and runs their loops.

The package owns no state of its own but whether the catalog was absent when this node took over. `composition` builds
the parts in one order, `node` is the life of the process, `key_dispatch` hands each change of a stored key to the
subsystem that owns the key, `peer_exchange` says what nodes tell each other, `round_loop` runs scheduling rounds while
this node leads, and `supervision` restarts a loop that failed.
"""
