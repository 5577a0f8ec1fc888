"""Leader election between controller nodes, and what makes a leader valid.

Owns the leadership state machine (`leadership_state`): FOLLOWER → CANDIDATE → LOADING → LEADER, and back to FOLLOWER
from every other role. Around it stand the votes and quorum leases that this node grants (`vote_grant`, `vote_fence`),
what it knows of the leader key (`leader_key`), elections (`election`), the renewal of the leader's session lease
(`session_lease`), leadership transfer (`leadership_transfer`) and the messages between nodes (`peer_heartbeat`,
`peer_handler`, `peer_group`, `peer_transport`). `state_machine.Leadership` puts them together.

Of others it asks for the key-value store (compare-and-swap, session leases), a function that rebuilds the leader's
state from the stored records, and a `peer_exchange.PeerExchange` for what travels with the messages between nodes.
"""
