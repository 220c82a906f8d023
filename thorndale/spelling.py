"""Suggestions for misspelt names."""


def distance(a, b):
    """The Levenshtein distance of two strings."""
    row = list(range(len(b) + 1))
    for i, x in enumerate(a, 1):
        diagonal, row[0] = row[0], i
        for j, y in enumerate(b, 1):
            diagonal, row[j] = row[j], min(row[j] + 1, row[j - 1] + 1, diagonal + (x != y))
    return row[-1]


def nearest(name, known):
    """The known name closest to a misspelt one, or '' if none is close enough."""
    best = min(known, key=lambda k: (distance(name, k), k), default="")
    return best if best and distance(name, best) <= max(2, len(name) // 3) else ""
