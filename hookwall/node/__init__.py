"""Composition of one controller node, and the loops that drive it."""
