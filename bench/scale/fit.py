"""How a cost grows with a size: least squares over the measured sizes, the simplest law that fits them."""

from typing import NamedTuple

import numpy

SIZES_LEAST = 4  # sizes that a slope is taken over
SIMPLER_WITHIN = 1.5  # times the least residual up to which a law with fewer terms is taken

LAWS = {
    "constant": lambda n: numpy.array([numpy.ones_like(n)]),
    "logarithmic": lambda n: numpy.array([numpy.ones_like(n), numpy.log2(n)]),
    "linear": lambda n: numpy.array([numpy.ones_like(n), n]),
    "quadratic": lambda n: numpy.array([numpy.ones_like(n), n, n * n]),
}
CONSTANT_WITHIN = 0.1  # residual, as a part of the mean, within which a cost counts as not growing


class Fit(NamedTuple):
    """`terms`: of the law, from the constant up. `residual`: root of the mean square of what the law leaves, as a part
    of the mean measured value."""

    law: str
    terms: tuple
    residual: float

    def at(self, size):
        """The cost at this size, in the unit of the values."""
        return float(numpy.dot(self.terms, LAWS[self.law](numpy.array([float(size)]))[:, 0]))

    def text(self):
        names = {
            "constant": ["{}"],
            "logarithmic": ["{}", "{} log2 n"],
            "linear": ["{}", "{} n"],
            "quadratic": ["{}", "{} n", "{} n^2"],
        }
        parts = [form.format(f"{term:.3g}") for form, term in zip(names[self.law], self.terms, strict=True)]
        return " + ".join(parts) + f", residual {100 * self.residual:.0f}%"


class FitError(Exception):
    """Too few sizes to take a slope over."""


def _fitted(law, sizes, values):
    rows = LAWS[law](sizes)
    terms, *_ = numpy.linalg.lstsq(rows.T, values, rcond=None)
    left = values - terms @ rows
    mean = abs(values.mean()) or 1.0
    return Fit(law, tuple(float(t) for t in terms), float(numpy.sqrt((left**2).mean()) / mean))


def fit(sizes, values):
    """The law of the fewest terms whose residual is near the least. Raises FitError."""
    if len(set(sizes)) < SIZES_LEAST:
        raise FitError(f"{len(set(sizes))} sizes, {SIZES_LEAST} are needed for a slope")
    sizes, values = numpy.array(sizes, dtype=float), numpy.array(values, dtype=float)
    laws = ["constant", "logarithmic", "linear"] + ["quadratic"] * (len(set(sizes)) > SIZES_LEAST)
    found = {law: _fitted(law, sizes, values) for law in laws}
    if found["constant"].residual <= CONSTANT_WITHIN:
        return found["constant"]
    least = min(f.residual for f in found.values())
    if "quadratic" in found and found["quadratic"].terms[-1] < 0:  # a cost that turns down again is noise
        del found["quadratic"]
        least = min(f.residual for f in found.values())
    order = ("logarithmic", "linear", "quadratic")
    near = [found[law] for law in order if law in found and found[law].residual <= max(least * SIMPLER_WITHIN, 0.01)]
    return min(near, key=lambda f: (len(f.terms), f.residual))
