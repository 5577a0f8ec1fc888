"""The HTTP server, and what users may ask of any node: submit, poll and cancel jobs.

Owns the connections and the requests in flight. A request is answered at once, or refused at once with when to come
back; none is held back. Its one state machine is that of a connection: idle, reading a body, answering. Asks of others:
the job table and record writes (`jobs`), confirmation of cached versions (`storage`), whether a job can ever run
(`scheduling`), and a handler for workers' heartbeats (`workers`).
"""
