"""Messages on the wire: JSON of users, workers and the cloud, messages between nodes, and the HTTP client.

Owns the mapping of the platform's names to this program's terms: an external name appears only here, as the encoded
name of a field. There is no state machine. Callers pass bytes or decoded bodies as they arrive. Code that decodes must
handle `MalformedMessageError`. Code that sends must handle `NoResponseError`, after which the request may have been
executed.
"""
