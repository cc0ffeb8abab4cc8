"""Fits straight lines to measured figures."""

from collections.abc import Sequence
from dataclasses import dataclass

from numpy import abs as absolute
from numpy import array, mean, polyfit, polyval


@dataclass(frozen=True, slots=True)
class Line:
    """A fitted line.

    Attributes
    ----------
    residual : float
        Largest residual as a share of the mean figure.
    """

    slope: float
    intercept: float
    residual: float


def fit_line(sizes: Sequence[float], figures: Sequence[float]) -> Line:
    """Return the least-squares line through figures at three sizes or more."""
    slope, intercept = polyfit(array(sizes, float), array(figures, float), 1)
    residuals = array(figures) - polyval((slope, intercept), array(sizes))
    return Line(slope, intercept, float(max(absolute(residuals)) / mean(figures)))


def report(title: str, sizes: Sequence[float], figures: Sequence[float]) -> Line:
    """Print the figure of each size and the fitted line."""
    line = fit_line(sizes, figures)
    row = ", ".join(
        f"{size}: {figure:.4g}" for size, figure in zip(sizes, figures, strict=True)
    )
    print(f"{title}: {row}")
    print(
        f"    slope {line.slope:.4g}, intercept {line.intercept:.4g},"
        f" largest residual {line.residual:.1%} of the mean"
    )
    return line
