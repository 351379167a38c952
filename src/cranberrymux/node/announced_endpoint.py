"""The record by which a node announces its endpoint to the directory."""

from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state


class AnnouncedEndpoint:
    """Holds the record and raises its sequence number on each change."""

    def __init__(self, incarnation: int) -> None:
        """Starts without a record.

        Args:
            incarnation: Start time of the process in Unix milliseconds.
        """
        self._incarnation = incarnation
        self._record: endpoint_record.EndpointRecord | None = None

    @property
    def incarnation(self) -> int:
        """Start time of the process in Unix milliseconds."""
        return self._incarnation

    @property
    def record(self) -> endpoint_record.EndpointRecord | None:
        """The current record; None before the first announcement."""
        return self._record

    def replace(self, record: endpoint_record.EndpointRecord) -> bool:
        """Replaces the record.

        Args:
            record: The new record; its sequence number is ignored.

        Returns:
            True if the record has changed.
        """
        sequence = 0 if self._record is None else self._record.sequence
        if record._replace(sequence=sequence) == self._record:
            return False
        self._record = record._replace(sequence=sequence + 1)
        return True

    def set_state(self, state: endpoint_state.EndpointState) -> bool:
        """Changes the state of the endpoint.

        Args:
            state: State from now on.

        Returns:
            True if there is a record and its state was another.
        """
        if self._record is None:
            return False
        return self.replace(self._record._replace(state=state))
