"""Leader election between controller nodes, and the rules that make a leader valid.

Owns the leadership state machine (`leadership_state`): FOLLOWER → CANDIDATE → LOADING → LEADER, and back to FOLLOWER
from every other role. The other modules implement the votes and quorum leases that this node grants (`vote_grant`,
`vote_fence`), its view of the leader key (`leader_key`), elections (`election`), the renewal of the leader's session
lease (`session_lease`), leadership transfer (`leadership_transfer`) and the messages between nodes (`peer_heartbeat`,
`peer_handler`, `peer_group`, `peer_transport`). `leadership.Leadership` combines them.

The package depends on the key-value store (compare-and-swap, session leases), on a function that rebuilds the leader's
state from the stored records, and on a `peer_exchange.PeerExchange`, which supplies and receives the data that other
subsystems exchange in the messages between nodes.
"""
