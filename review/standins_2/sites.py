"""The two small deployments, with the figures of the operators' brief and site files."""

from typing import Any

TABLERONDE: dict[str, Any] = {
    "zones": ["montreal-est", "quebec-ville", "sherbrooke"],
    "areas": ["montreal-est", "quebec-ville", "sherbrooke"],
    "hulls": [
        {
            "label": "erable-gpu", "cores": 32.0, "cards": 4.0, "memGb": 256.0, "localGb": 80.0, "pullGbPerS": 0.5,
            "price": 13.2, "spotPrice": 6.21, "startupS": 25.0,
            "yards": ["montreal-est", "quebec-ville", "sherbrooke"],
        }
    ],
    "settings": {
        "time_bound_ms": 25.0,
        "teams": [
            {"name": "rules-guild", "cpus": 0.0, "cpus_max": 0.0, "gpus": 16.0, "gpus_max": 40.0},
            {"name": "bot-guild", "cpus": 0.0, "cpus_max": 0.0, "gpus": 16.0, "gpus_max": 40.0},
            {"name": "member-care", "cpus": 0.0, "cpus_max": 0.0, "gpus": 40.0, "gpus_max": 136.0},
            {"name": "events-crew", "cpus": 0.0, "cpus_max": 0.0, "gpus": 16.0, "gpus_max": 48.0},
        ],
        "objectives": [
            {"kind": "wait", "class": "bot-seat", "within_s": 50.0, "share": 0.82},
            {"kind": "finished", "class": "bot-seat", "within_s": 250.0, "share": 0.82},
            {"kind": "finished", "class": "replay-render", "within_s": 100.0, "share": 0.78},
            {"kind": "finished", "class": "replay-render", "within_s": 180.0, "share": 0.94},
            {"kind": "guarantee", "within_s": 10.0, "share": 0.82},
        ],
        "workers": {"report_s": 2.0, "lease_s": 12.0, "gang_wait_s": 35.0, "gang_peer_s": 8.0, "cancel_s": 37.0},
        "state": {"rps": 150.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 12},
        "cloud": {"rps": 2.0, "list_lag_s": 10.0},
        "machine_limits": {"core_share": 0.432, "memory_mb": 186.0, "sockets": 1200},
    },
}  # fmt: skip

FINDWELL: dict[str, Any] = {
    "zones": ["lozenets", "plovdiv-room"],
    "areas": ["lozenets", "plovdiv-room", "lozenets"],
    "hulls": [
        {
            "label": "vitosha-gpu", "cores": 48.0, "cards": 8.0, "memGb": 192.0, "localGb": 90.0, "pullGbPerS": 0.3,
            "price": 22.53, "spotPrice": 5.86, "startupS": 25.0, "yards": ["lozenets", "plovdiv-room"],
        }
    ],
    "settings": {
        "time_bound_ms": 100.0,
        "teams": [{"name": "desk-ops", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
        "objectives": [
            {"kind": "wait", "class": "urgent-match", "within_s": 60.0, "share": 0.9},
            {"kind": "wait", "class": "urgent-match", "within_s": 90.0, "share": 0.92},
            {"kind": "finished", "class": "urgent-match", "within_s": 400.0, "share": 0.92},
            {"kind": "finished", "class": "photo-embed", "within_s": 120.0, "share": 0.85},
            {"kind": "finished", "class": "photo-embed", "within_s": 180.0, "share": 0.96},
        ],
        "workers": {"report_s": 2.0, "lease_s": 12.0, "gang_wait_s": 45.0, "gang_peer_s": 8.0, "cancel_s": 42.0},
        "state": {"rps": 150.0, "write_rps": 30.0, "value_kb": 32.0, "txn_ops": 24},
        "cloud": {"rps": 2.0, "list_lag_s": 5.0},
        "machine_limits": {"core_share": 0.36, "memory_mb": 266.0, "sockets": 1500},
    },
}  # fmt: skip
