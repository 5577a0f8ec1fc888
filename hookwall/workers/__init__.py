"""Machines and their workers: heartbeats, leases, lease delegation."""
