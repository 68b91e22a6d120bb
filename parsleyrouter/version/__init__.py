"""Settings: schema, versioned records, and replication between nodes."""
