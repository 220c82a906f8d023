"""A random day by seed: a site is lost and returns, with difficult variants mixed in."""

from random import Random

from thorndale.emulator.day import Day, S, ScenarioEvent

SERVER_RATE = 100.0  # set-ups a second of one warm server, at 10 ms of work each


def random_day(seed, length_s=90, proxies=228, servers=10, calls=680.0):
    """Returns (Day, description). There are two equal, two unequal or three sites. The lost site stops answering or
    refuses calls, and the server list announces this or does not. Variants: the site flaps, cuts the calls that it
    answers, returns cold into a burst, is slow, or is lost a second time."""
    rng = Random(seed)
    shape = rng.choice(("equal", "equal", "unequal", "three"))
    servers_per_site = {
        "equal": (servers // 2, servers - servers // 2),
        "unequal": (servers // 4, servers - servers // 4),
        "three": (servers // 3, servers // 3, servers - 2 * (servers // 3)),
    }[shape]
    site, loss_at = rng.randrange(len(servers_per_site)), 20 * S
    return_at = int((45 + 15 * rng.random()) * S)
    announced = rng.random() < 0.7
    case = rng.choice(("plain", "plain", "flap", "cuts", "burst", "slow", "second"))
    kind, return_kind = rng.choice((("dark", "back"), ("dark", "restart"), ("killed", "restart")))
    scenario_events = [
        ScenarioEvent(loss_at, kind, site, announced=announced),
        ScenarioEvent(return_at, return_kind, site, announced=announced),
    ]
    if case == "flap":
        interval_us = (2 + 3 * rng.random()) * S
        scenario_events = [
            ScenarioEvent(int(loss_at + n * interval_us), (kind, return_kind)[n % 2], site, announced=announced)
            for n in range(10)
        ]
    elif case == "cuts":
        scenario_events = [
            ScenarioEvent(loss_at, "cuts", site),
            ScenarioEvent(return_at, "back", site, announced=False),
        ]
    elif case == "burst":
        scenario_events += [
            ScenarioEvent(return_at - 2 * S, "burst", site, 1.2),
            ScenarioEvent(return_at + 10 * S, "burst", site, 1.0),
        ]
    elif case == "slow":
        scenario_events = [ScenarioEvent(loss_at, "slow", site, 4.0), ScenarioEvent(return_at, "slow", site, 1.0)]
    elif case == "second":
        scenario_events += [
            ScenarioEvent(return_at + 6 * S, kind, site, announced=announced),
            ScenarioEvent(return_at + 14 * S, return_kind, site, announced=announced),
        ]
    calls_per_site = calls / len(servers_per_site)
    outside = tuple(max(0.0, 0.97 * SERVER_RATE * n - calls_per_site) for n in servers_per_site)
    day = Day(
        seed=seed,
        length_us=length_s * S,
        proxies=proxies,
        servers=servers_per_site,
        calls=calls,
        outside=outside,
        scenario_events=tuple(sorted(scenario_events)),
        largest_proxy_fraction=0.2 if rng.random() < 0.2 else 0.0,
    )
    return day, f"{shape} {case} {kind}" + ("" if announced else " untold")
