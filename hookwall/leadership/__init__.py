"""Leader election between nodes: votes, the leader key, validity, leadership transfer."""
