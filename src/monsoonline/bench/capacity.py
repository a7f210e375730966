"""Slopes of an entry's state, messages and time against the sizes of a deployment.

Each measurement varies one size, measures several points, and fits a straight line,
which is extrapolated to the design size of section 1 of ``docs/design.md``.
"""

import dataclasses

import numpy

from monsoonline.registry import Registry

__all__ = [
    "DESIGN_SIZES",
    "Measurement",
    "Slope",
    "fit",
    "measure_all",
    "measurements",
]

# The design states targets, services and calls; the other sizes follow from it in
# docs/CAPACITY.md: two routes for each service, 16 targets in a pool, the members of
# one region, and the largest number of at-most-once records. "calls" are those of one
# second, so that microseconds at the design size divided by a million are cores.
DESIGN_SIZES = {
    "targets": 4_800,
    "services": 300,
    "routes": 600,
    "targets per pool": 16,
    "members": 150,
    "records in a datagram": 8,
    "records": 50_000,
    "connections": 1_000,
    "calls": 1_100_000,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Measurement:
    """What one function measures.

    :param size: the size that varies, a key of :data:`DESIGN_SIZES`
    :param unit: unit of the measured values
    :param points: values of the size
    :param function: called with a value of the size, returns the measured value
    """

    size: str
    unit: str
    points: tuple[int, ...]
    function: object


class MeasurementRegistry(Registry):
    """Measurements by name."""

    def measures(self, name, *, size, unit, points):
        """Register the decorated function as a measurement.

        :param name: name in the report
        :param size: key of :data:`DESIGN_SIZES`
        :param unit: unit of the values that the function returns
        :param points: values of the size to measure
        """

        def decorate(function):
            self.register(name)(
                Measurement(size=size, unit=unit, points=points, function=function)
            )
            return function

        return decorate


measurements = MeasurementRegistry(kind="capacity measurement")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Slope:
    """A line through measured points.

    :param name: name of the measurement
    :param size: the size that varied
    :param unit: unit of the values
    :param points: pairs of size and value
    :param slope: change of the value for each unit of the size
    :param intercept: value at size 0
    :param residual: largest distance of a point from the line
    """

    name: str
    size: str
    unit: str
    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float
    residual: float

    def at(self, size):
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size

    def document(self):
        """Return the JSON object, with the extrapolation to the design size."""
        design_size = DESIGN_SIZES[self.size]
        return {
            **dataclasses.asdict(self),
            "design_size": design_size,
            "at_design_size": self.at(design_size),
        }


def fit(name, measurement, points):
    """Fit a line by least squares.

    :param name: name of the measurement
    :param measurement: :class:`Measurement`
    :param points: pairs of size and value, at least two different sizes
    :returns: :class:`Slope`
    """
    sizes, values = numpy.array(points, dtype=float).T
    matrix = numpy.stack([sizes, numpy.ones_like(sizes)], axis=1)
    (slope, intercept), *_ = numpy.linalg.lstsq(matrix, values, rcond=None)
    distances = numpy.abs(matrix @ (slope, intercept) - values)
    return Slope(
        name=name,
        size=measurement.size,
        unit=measurement.unit,
        points=tuple((float(x), float(y)) for x, y in points),
        slope=float(slope),
        intercept=float(intercept),
        residual=float(distances.max()),
    )


def measure_all(names=None, *, progress=lambda text: None):
    """Run measurements and fit their lines.

    :param names: names of the measurements, all when not given
    :param progress: called with a text before each measurement
    :returns: tuple of :class:`Slope`
    """
    # The measurements register themselves.
    import monsoonline.bench.capacity_measurements
    import monsoonline.bench.permit_measurements  # noqa: F401

    slopes = []
    for name in names or measurements.names:
        measurement = measurements.get(name)
        progress(name)
        points = [(size, measurement.function(size)) for size in measurement.points]
        slopes.append(fit(name, measurement, points))
    return tuple(slopes)
