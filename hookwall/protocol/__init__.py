"""Messages on the wire: JSON of users, workers and the cloud, CBOR between nodes, and the HTTP client."""
