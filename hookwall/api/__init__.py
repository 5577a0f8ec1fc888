"""The HTTP server, and the operations that every node serves to users: submit, poll and cancel jobs.

Owns the connections and the requests in flight. A request is answered at once, or refused at once with a Retry-After
header; none is held back. The only state machine is that of a connection: idle, reading a body, responding. Depends on
the job table and record writes (`jobs`), on the confirmation of cached versions (`storage`), on the check whether a job
can ever run (`scheduling`), and on a handler for workers' heartbeats (`workers`).
"""
