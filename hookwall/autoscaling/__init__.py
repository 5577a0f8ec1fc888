"""How many machines are needed, and scaling out and in at the cloud."""
