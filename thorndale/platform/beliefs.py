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
                    "wait_ms": module.queue_delay[s] // 1000,
                    "wait_age_ms": (now - module.queue_delay_at[s]) // 1000,
                    "told_ms": None if module.last_report[s] is None else module.last_report[s].wait_us // 1000,
                    "free": module.free_lines[s],
                    "part": round(module.line_fraction[s], 3),
                    "open": round(module.processor_fraction[s], 3),
                    "score": round(module.failure_log_odds[s], 2),
                    "loss": round(module.loss_fraction[s], 3),
                    "silent": module.unanswered[s],
                    "out": len(module.in_flight[s]),
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
