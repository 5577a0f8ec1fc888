"""The HTTP server and what users may ask."""
