"""Keys in the state service. All lie below one root, which every node reads and watches."""

ROOT = "hookwall/"
JOBS = ROOT + "job/"
LEADER = ROOT + "leader"
CATALOG = ROOT + "catalog"
KEEP = ROOT + "keep/"
FORMAT = ROOT + "format/"
PARTS = ROOT + "part/"
