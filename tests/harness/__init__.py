"""Several nodes, key-value store, cloud, workers and users on one fake clock, written from PROTOCOL."""
