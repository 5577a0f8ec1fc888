"""A simulated deployment on one fake clock: nodes, key-value store, cloud, workers and users, as PROTOCOL specifies."""
