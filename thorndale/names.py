"""Names that somebody may have misspelt."""


def distance(a, b):
    """How many letters must be put in, left out or changed to make one of the other."""
    row = list(range(len(b) + 1))
    for i, x in enumerate(a, 1):
        last, row[0] = row[0], i
        for j, y in enumerate(b, 1):
            last, row[j] = row[j], min(row[j] + 1, row[j - 1] + 1, last + (x != y))
    return row[-1]


def nearest(name, known):
    """The known name that is most likely meant, or ''."""
    best = min(known, key=lambda k: (distance(name, k), k), default="")
    return best if best and distance(name, best) <= max(2, len(name) // 3) else ""
