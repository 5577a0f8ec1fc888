"""Client of the consensus-backed key-value store: keys, records, versions, watch, rate limits."""
