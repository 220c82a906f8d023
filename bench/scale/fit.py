"""Fits how a cost grows with a size: least squares over the measured sizes, the simplest law that fits."""

from typing import NamedTuple

import numpy

MIN_SIZES = 4  # distinct sizes that a slope requires
SIMPLER_LAW_FACTOR = 1.5  # a law with fewer terms is preferred up to this multiple of the lowest residual

LAWS = {
    "constant": lambda n: numpy.array([numpy.ones_like(n)]),
    "logarithmic": lambda n: numpy.array([numpy.ones_like(n), numpy.log2(n)]),
    "linear": lambda n: numpy.array([numpy.ones_like(n), n]),
    "quadratic": lambda n: numpy.array([numpy.ones_like(n), n, n * n]),
}
CONSTANT_MAX_RESIDUAL = 0.1  # residual as a share of the mean, up to which a cost counts as not growing


class Fit(NamedTuple):
    """`terms`: coefficients of the law, the constant first. `residual`: root mean square error of the law, as a share of
    the mean measured value."""

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
        formatted_terms = [form.format(f"{term:.3g}") for form, term in zip(names[self.law], self.terms, strict=True)]
        return " + ".join(formatted_terms) + f", residual {100 * self.residual:.0f}%"


class FitError(Exception):
    """Too few distinct sizes for a slope."""


def _fit_law(law, sizes, values):
    rows = LAWS[law](sizes)
    terms, *_ = numpy.linalg.lstsq(rows.T, values, rcond=None)
    errors = values - terms @ rows
    mean = abs(values.mean()) or 1.0
    return Fit(law, tuple(float(t) for t in terms), float(numpy.sqrt((errors**2).mean()) / mean))


def fit(sizes, values):
    """The law with the fewest terms whose residual is near the lowest. Raises FitError."""
    if len(set(sizes)) < MIN_SIZES:
        raise FitError(f"{len(set(sizes))} sizes, {MIN_SIZES} are needed for a slope")
    sizes, values = numpy.array(sizes, dtype=float), numpy.array(values, dtype=float)
    laws = ["constant", "logarithmic", "linear"] + ["quadratic"] * (len(set(sizes)) > MIN_SIZES)
    fits = {law: _fit_law(law, sizes, values) for law in laws}
    if fits["constant"].residual <= CONSTANT_MAX_RESIDUAL:
        return fits["constant"]
    lowest = min(f.residual for f in fits.values())
    if "quadratic" in fits and fits["quadratic"].terms[-1] < 0:  # costs do not fall with size: the curvature is noise
        del fits["quadratic"]
        lowest = min(f.residual for f in fits.values())
    order = ("logarithmic", "linear", "quadratic")
    candidates = [
        fits[law] for law in order if law in fits and fits[law].residual <= max(lowest * SIMPLER_LAW_FACTOR, 0.01)
    ]
    return min(candidates, key=lambda f: (len(f.terms), f.residual))
