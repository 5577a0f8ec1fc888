"""Messages on the wire: JSON of users, workers and the cloud, what nodes send each other, and the HTTP client.

Owns the mapping of the platform's names to this program's terms: an external name stands only here, as the name of a
field. It has no state machine. Asks of others: bytes or decoded bodies as they arrive; whoever decodes handles
`MalformedMessageError`, and whoever sends handles `NoResponseError`, after which a request may have been executed.
"""
