"""Holds the configuration that is in force at this node."""

from cranberrymux.decisions.configuration import document
from cranberrymux.decisions.configuration import document_error
from cranberrymux.decisions.configuration import document_reader
from cranberrymux.decisions.configuration import policy
from cranberrymux.decisions.configuration import policy_decision
from cranberrymux.decisions.selectors import selector_labels


class PolicyHolder:
    """Configuration in force; replaced only by a higher version.

    Implements `environment.CallPolicy`.
    """

    def __init__(self) -> None:
        """Starts with the empty document as version 0, not confirmed."""
        empty = document_reader.parse("")
        assert isinstance(empty, document.Document)
        self._policy = policy.Policy(empty, 0)
        self._confirmed_until_s = float("-inf")

    @property
    def version(self) -> int:
        """Version of the configuration; 0 if there is none yet."""
        return self._policy.version

    def replace(
        self, version: int, text: str
    ) -> document_error.DocumentError | None:
        """Puts a document in force, if its version is higher.

        Args:
            version: Version of the document.
            text: The document.

        Returns:
            The error of a document that is not valid, which changes nothing;
            otherwise None.
        """
        if version <= self._policy.version:
            return None
        parsed = document_reader.parse(text)
        if isinstance(parsed, document_error.DocumentError):
            return parsed
        self._policy = policy.Policy(parsed, version)
        self._confirmed_until_s = float("-inf")
        return None

    def confirm(self, version: int, until_s: float) -> None:
        """Extends the time until which the quorum confirms a version.

        Args:
            version: Confirmed version; ignored if it is not in force.
            until_s: Monotonic time in seconds.
        """
        if version == self._policy.version:
            self._confirmed_until_s = max(self._confirmed_until_s, until_s)

    def get_class_name(self, rank: int) -> str:
        """Returns the name of the class with a rank, or of the last class."""
        classes = self._policy.document.classes
        return classes[min(rank, len(classes) - 1)].name

    def get_limit_cap(self, service: str) -> int:
        """Returns the cap on calls in flight at one endpoint of a service.

        Args:
            service: Name of the service.

        Returns:
            The cap; 0 for none.
        """
        return self._policy.document.service(service).limit_cap

    def is_stale(self, now_s: float) -> bool:
        """Returns whether the configuration is too old for strict calls.

        Args:
            now_s: Present monotonic time.
        """
        age_ms = (now_s - self._confirmed_until_s) * 1000
        return age_ms > self._policy.document.strict_age_ms

    def decide(
        self, service: str, method: str, target: str, principal: str
    ) -> policy_decision.PolicyDecision:
        """Returns the decision about a call.

        Args:
            service: Service that is called.
            method: HTTP method.
            target: Request target.
            principal: Principal of the client; empty if it is unknown.
        """
        labels = selector_labels.make_request_labels(
            service, method, target, principal, {}
        )
        return self._policy.decide(labels)
