"""Children of a metric with labels, kept by the values of their labels."""

from typing import Generic
from typing import TypeVar

from prometheus_client import metrics

_Metric = TypeVar("_Metric", bound=metrics.MetricWrapperBase)


class LabelChildren(dict[tuple[str, ...], _Metric], Generic[_Metric]):
    """The children of a metric by the values of their labels.

    Looking one up here needs none of the checks and the lock of `labels`.
    """

    def __init__(self, metric: _Metric) -> None:
        """Starts without children.

        Args:
            metric: Metric with labels, which is never cleared.
        """
        super().__init__()
        self._metric = metric

    def __missing__(self, values: tuple[str, ...]) -> _Metric:
        """Makes the child on its first use."""
        child = self[values] = self._metric.labels(*values)
        return child

    def labels(self, *values: str) -> _Metric:
        """Returns the child with these values of the labels."""
        return self[values]
