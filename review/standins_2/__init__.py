"""Stand-ins for the second review: store, cloud, workers, users and links, written from the operators' pages."""
