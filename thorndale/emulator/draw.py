"""A random day by seed: a site is lost and returns, with difficult variants mixed in."""

from random import Random

from thorndale.emulator.day import Day, S, Trouble

SERVER_RATE = 100.0  # set-ups a second of one warm server, at 10 ms of work each


def drawn(seed, length_s=90, proxies=228, servers=10, calls=680.0):
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
    troubles = [
        Trouble(loss_at, kind, site, told=announced),
        Trouble(return_at, return_kind, site, told=announced),
    ]
    if case == "flap":
        interval_us = (2 + 3 * rng.random()) * S
        troubles = [
            Trouble(int(loss_at + n * interval_us), (kind, return_kind)[n % 2], site, told=announced) for n in range(10)
        ]
    elif case == "cuts":
        troubles = [Trouble(loss_at, "cuts", site), Trouble(return_at, "back", site, told=False)]
    elif case == "burst":
        troubles += [Trouble(return_at - 2 * S, "burst", site, 1.2), Trouble(return_at + 10 * S, "burst", site, 1.0)]
    elif case == "slow":
        troubles = [Trouble(loss_at, "slow", site, 4.0), Trouble(return_at, "slow", site, 1.0)]
    elif case == "second":
        troubles += [
            Trouble(return_at + 6 * S, kind, site, told=announced),
            Trouble(return_at + 14 * S, return_kind, site, told=announced),
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
        troubles=tuple(sorted(troubles)),
        largest_proxy_fraction=0.2 if rng.random() < 0.2 else 0.0,
    )
    return day, f"{shape} {case} {kind}" + ("" if announced else " untold")
