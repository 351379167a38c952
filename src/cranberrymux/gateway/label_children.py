"""Children of a metric with labels, by the values of their labels."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Generic
from typing import Protocol
from typing import TypeVar

from prometheus_client import metrics_core
from prometheus_client import registry

from cranberrymux.gateway import event_counter


class _Child(Protocol):
    def make_samples(self) -> list[event_counter.Sample]:
        """Returns suffix of the name, further labels and value of each."""


_ChildType = TypeVar("_ChildType", bound=_Child)


class LabelChildren(dict[tuple[str, ...], _ChildType], Generic[_ChildType]):
    """Counters or histograms, each made on its first use."""

    def __init__(self, make_child: Callable[[], _ChildType]) -> None:
        """Starts without children."""
        super().__init__()
        self._make_child = make_child

    def __missing__(self, values: tuple[str, ...]) -> _ChildType:
        """Makes the child on its first use."""
        child = self[values] = self._make_child()
        return child

    def labels(self, *values: str) -> _ChildType:
        """Returns the child with these values of the labels."""
        return self[values]


class ChildrenCollector(registry.Collector):
    """Shows the children of one metric to Prometheus."""

    def __init__(
        self,
        metric: metrics_core.Metric,
        labels: tuple[str, ...],
        children: LabelChildren[_ChildType],
    ) -> None:
        """Stores what is shown.

        Args:
            metric: The metric without samples.
            labels: Names of its labels.
            children: Its children.
        """
        self._metric = metric
        self._labels = labels
        self._children = children

    def collect(self) -> Iterable[metrics_core.Metric]:
        """Returns the metric with the present values."""
        known = self._metric
        metric = metrics_core.Metric(
            known.name, known.documentation, known.type
        )
        for values, child in self._children.items():
            labels = dict(zip(self._labels, values, strict=True))
            for suffix, further, value in child.make_samples():
                metric.add_sample(
                    known.name + suffix, {**labels, **further}, value
                )
        return [metric]
