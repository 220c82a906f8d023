"""A day drawn from a seed: loss and return of a site with the hard cases mixed in."""

from random import Random

from thorndale.emulator.day import Day, S, Trouble

SERVER_RATE = 100.0  # set-ups a second of one warm server: 10 ms of work each


def drawn(seed, length_s=90, proxies=228, servers=10, calls=680.0):
    """(a Day, what it is in words). Sites are equal, unequal or three; a loss is silent or loud, told or not; some
    flap, some cut what they answer, some return cold into a burst, some are lost a second time."""
    chance = Random(seed)
    shape = chance.choice(("equal", "equal", "unequal", "three"))
    split = {
        "equal": (servers // 2, servers - servers // 2),
        "unequal": (servers // 4, servers - servers // 4),
        "three": (servers // 3, servers // 3, servers - 2 * (servers // 3)),
    }[shape]
    site, at = chance.randrange(len(split)), 20 * S
    back = int((45 + 15 * chance.random()) * S)
    told = chance.random() < 0.7
    case = chance.choice(("plain", "plain", "flap", "cuts", "burst", "slow", "second"))
    kind, again = chance.choice((("dark", "back"), ("dark", "restart"), ("killed", "restart")))
    troubles = [Trouble(at, kind, site, told=told), Trouble(back, again, site, told=told)]
    if case == "flap":
        apart = (2 + 3 * chance.random()) * S
        troubles = [Trouble(int(at + n * apart), (kind, again)[n % 2], site, told=told) for n in range(10)]
    elif case == "cuts":
        troubles = [Trouble(at, "cuts", site), Trouble(back, "back", site, told=False)]
    elif case == "burst":
        troubles += [Trouble(back - 2 * S, "burst", site, 1.2), Trouble(back + 10 * S, "burst", site, 1.0)]
    elif case == "slow":
        troubles = [Trouble(at, "slow", site, 4.0), Trouble(back, "slow", site, 1.0)]
    elif case == "second":
        troubles += [Trouble(back + 6 * S, kind, site, told=told), Trouble(back + 14 * S, again, site, told=told)]
    own = calls / len(split)
    outside = tuple(max(0.0, 0.97 * SERVER_RATE * n - own) for n in split)
    day = Day(
        seed=seed,
        length_us=length_s * S,
        proxies=proxies,
        servers=split,
        calls=calls,
        outside=outside,
        troubles=tuple(sorted(troubles)),
        largest=0.2 if chance.random() < 0.2 else 0.0,
    )
    return day, f"{shape} {case} {kind}" + ("" if told else " untold")
