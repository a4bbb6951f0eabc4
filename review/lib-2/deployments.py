"""Settings and catalogs with the figures of the users' pages."""


def rodopis():
    """Return the settings and the catalog of rodopis-brno, as the brief gives them."""
    teams = [{"name": "archivari", "cpus": 40.0, "cpus_max": 128.0, "gpus": 0.0, "gpus_max": 0.0}]
    teams += [
        {"name": name, "cpus": 32.0, "cpus_max": 96.0, "gpus": 0.0, "gpus_max": 0.0}
        for name in ("dobrovolnici", "hledaci", "rodokmen", "skenovani")
    ]
    zones = ["cechy", "jih", "morava", "slezsko"]
    deployment = {
        "nodes": 3,
        "zones": zones,
        "skew_ms": 1000.0,
        "teams": teams,
        "objectives": [
            {"kind": "wait", "class": "prepis", "within_s": 250.0, "share": 0.88},
            {"kind": "wait", "class": "hledani", "within_s": 1.0, "share": 0.85},
            {"kind": "wait", "class": "oprava", "within_s": 15.0, "share": 0.9},
        ],
        "workers": {
            "report_s": 3.0,
            "lease_s": 18.0,
            "gang_wait_s": 40.0,
            "gang_peer_s": 5.0,
            "cancel_s": 48.0,
        },
        "state": {"rps": 150.0, "write_rps": 40.0, "value_kb": 16.0, "txn_ops": 32},
        "cloud": {"rps": 4.0, "list_lag_s": 5.0},
        "quota": {"cpu": 0.5, "memory_mb": 146.0, "max_sockets": 900},
    }
    kinds = [
        kind("vrabec", 4.0, 16.0, 0.18, 0.06, 35.0, zones),
        kind("kos", 8.0, 32.0, 0.33, 0.11, 15.0, zones),
        kind("orel", 64.0, 256.0, 2.77, 0.88, 15.0, zones),
    ]
    return deployment, kinds


def ub_enrol():
    """Return the settings and the catalog of ub-enrol, as the brief gives them."""
    return _ub_enrol({"burtgel": (128.0, 424.0), "shalguur": (208.0, 592.0), "dotuur": (128.0, 256.0)})


def ub_enrol_next():
    """Return the settings and the catalog of ub-enrol, as `change/LATER.md` gives them."""
    return _ub_enrol({"burtgel": (1500.0, 5000.0), "shalguur": (2500.0, 12000.0), "dotuur": (1500.0, 3000.0)})


def _ub_enrol(limits):
    zones = ["bogd", "tuul"]
    teams = [
        {"name": name, "cpus": cpus, "cpus_max": cpus_max, "gpus": 0.0, "gpus_max": 0.0}
        for name, (cpus, cpus_max) in limits.items()
    ]
    deployment = {
        "nodes": 3,
        "zones": zones,
        "skew_ms": 1000.0,
        "teams": teams,
        "objectives": [
            {"kind": "wait", "class": "yaraltai", "within_s": 2.0, "share": 0.85},
            {"kind": "wait", "class": "portal", "within_s": 1.0, "share": 0.88},
        ],
        "workers": {
            "report_s": 2.0,
            "lease_s": 14.0,
            "gang_wait_s": 45.0,
            "gang_peer_s": 4.0,
            "cancel_s": 39.0,
        },
        "state": {"rps": 200.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 12},
        "cloud": {"rps": 8.0, "list_lag_s": 6.0},
        "quota": {"cpu": 0.75, "memory_mb": 186.0, "max_sockets": 1500},
    }
    kinds = [
        kind("botgo", 8.0, 32.0, 0.4, 0.11, 25.0, zones),
        kind("temee", 32.0, 128.0, 1.66, 0.45, 25.0, zones),
    ]
    return deployment, kinds


def kind(label, vcpus, ram_gb, price, market_price, boot_s, zones):
    return {
        "label": label,
        "vcpus": vcpus,
        "gpus": 0.0,
        "ram_gb": ram_gb,
        "cache_gb": 50.0,
        "pull_gb_per_s": 1.0,
        "price": price,
        "market_price": market_price,
        "boot_s": boot_s,
        "districts": zones,
    }


def everywhere(kinds, zones, count):
    """Return a capacity of `count` machines for each type, zone and market."""
    return {(kind["label"], zone, spot): count for kind in kinds for zone in zones for spot in (True, False)}
