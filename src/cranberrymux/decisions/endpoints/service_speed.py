"""Usual working time at the endpoints of one service."""


class ServiceSpeed:
    """Mean of the logarithms of the working times that endpoints report.

    Attributes:
        mean_log: The mean; 0.0 without endpoints.
        uneven_count: Number of endpoints that are faster or slower than usual.
    """

    __slots__ = ("_count", "_sum", "mean_log", "uneven_count")

    def __init__(self) -> None:
        """Starts without endpoints."""
        self._count = 0
        self._sum = 0.0
        self.mean_log = 0.0
        self.uneven_count = 0

    def replace(self, old: float | None, new: float | None) -> None:
        """Replaces what one endpoint reports.

        Args:
            old: Logarithm of its working time until now; None if it had none.
            new: The same from now on; None if it has none.
        """
        if old is not None:
            self._count -= 1
            self._sum -= old
        if new is not None:
            self._count += 1
            self._sum += new
        self.mean_log = self._sum / self._count if self._count else 0.0
