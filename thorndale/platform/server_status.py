"""Log rows that compare the module's estimates of each central server with what this proxy observed on its sockets."""


def server_status_rows(now, border):
    """One row for each central server: current estimates, and the counts since the previous call, which are reset."""
    module, rows = border.decision_host.module, []
    for central in border.centrals.values():
        s = central.index
        if s >= len(module.state):
            continue
        response_times_us = sorted(central.response_times_us)
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
                "passed": central.event_counts,
                "out": sum(1 for link in central.links for seizure in link.in_flight.values() if not seizure.finished),
                "standing": len(central.established),
                "links": len(central.links),
                "lag_ms": [response_times_us[len(response_times_us) // 2] // 1000, response_times_us[-1] // 1000]
                if response_times_us
                else None,
            }
        )
        central.event_counts, central.response_times_us = {}, []
    return rows
