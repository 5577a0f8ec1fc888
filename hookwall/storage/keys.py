"""Names of the stored keys. All keys are below one root, which every node reads and watches.

The names are stored data: programs of all versions read them, so they never change.
"""

ROOT = "hookwall/"
LEADER_KEY = ROOT + "leader"  # the current leader; the version of this key is the fencing token
CATALOG_KEY = ROOT + "catalog"  # the cloud's machine types
JOB_PREFIX = ROOT + "job/"  # <job>: the job's record
CHUNK_PREFIX = ROOT + "part/"  # <job>/<hash of the content>: a chunk of a job's record
LEASE_DELEGATE_PREFIX = ROOT + "keep/"  # <node>: the machines whose leases that node renews for the leader
STORAGE_VERSION_PREFIX = ROOT + "format/"  # <node>: the newest storage version that the node's program supports
VOTE_FENCE_PREFIX = ROOT + "voter/"  # <node>: the process that casts the node's votes
DRAIN_PREFIX = ROOT + "drain/"  # <drain>: the drain's record
CORDON_PREFIX = ROOT + "cordon/"  # <machine>: no new work is placed on the machine
DISRUPTION_PREFIX = ROOT + "disrupted/"  # <page>: disruptions that count against the teams' budgets
