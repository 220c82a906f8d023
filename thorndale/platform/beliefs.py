"""What the module believes of each central server beside what passed on the sockets: for the log, decides nothing."""


def counted(now, border):
    """One map for each central server: beliefs as they are, counts since the last call of this."""
    module, rows = border.door.module, []
    for central in border.centrals.values():
        s = central.index
        if s >= len(module.state):
            continue
        lags = sorted(central.lags)
        rows.append(
            {
                "server": central.name,
                "state": module.state[s],
                "believed": {
                    "wait_ms": module.wait[s] // 1000,
                    "wait_age_ms": (now - module.wait_at[s]) // 1000,
                    "told_ms": None if module.told[s] is None else module.told[s].wait_us // 1000,
                    "free": module.free[s],
                    "part": round(module.part[s], 3),
                    "open": round(module.open[s], 3),
                    "score": round(module.score[s], 2),
                    "loss": round(module.loss[s], 3),
                    "silent": module.silent[s],
                    "out": len(module.out[s]),
                },
                "passed": central.passed,
                "out": sum(1 for link in central.links for seizure in link.out.values() if not seizure.over),
                "standing": len(central.standing),
                "links": len(central.links),
                "lag_ms": [lags[len(lags) // 2] // 1000, lags[-1] // 1000] if lags else None,
            }
        )
        central.passed, central.lags = {}, []
    return rows
