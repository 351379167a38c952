"""Evaluates the configuration document for single requests."""

from collections.abc import Mapping

from cranberrymux.decisions.configuration import document
from cranberrymux.decisions.configuration import policy_decision

MAXIMUM_CACHED_DECISIONS = 10_000


class Policy:
    """Decides by the selectors of a document how a request is handled.

    The first matching selector that names a class determines the class.
    `once_only` and `strict` are true if any matching selector sets them.
    `idempotent` is true if any matching selector sets it and none sets
    `once_only`. An endpoint must satisfy the `place` of every matching
    selector.

    Decisions are cached by the values of the labels that the selectors read;
    the cache is cleared when it holds `MAXIMUM_CACHED_DECISIONS` decisions.
    """

    def __init__(self, source: document.Document, version: int) -> None:
        """Collects the label names that the decisions depend on.

        Args:
            source: The document to evaluate.
            version: Version of the document.
        """
        self._document = source
        self._version = version
        label_names = {
            term.name for rule in source.selectors for term in rule.match.terms
        }
        self._label_names = ("service", *sorted(label_names - {"service"}))
        self._cache: dict[
            tuple[str | None, ...], policy_decision.PolicyDecision
        ] = {}

    @property
    def version(self) -> int:
        """Version of the configuration document."""
        return self._version

    @property
    def document(self) -> document.Document:
        """The configuration document that is evaluated."""
        return self._document

    def decide(
        self, labels: Mapping[str, str]
    ) -> policy_decision.PolicyDecision:
        """Returns how a request is handled, from the cache if possible.

        Args:
            labels: Labels of the request as `selector_labels` builds
                them; `service` is among them.
        """
        key = tuple(map(labels.get, self._label_names))
        decision = self._cache.get(key)
        if decision is None:
            decision = self._evaluate(labels)
            if len(self._cache) >= MAXIMUM_CACHED_DECISIONS:
                self._cache.clear()
            self._cache[key] = decision
        return decision

    def _evaluate(
        self, labels: Mapping[str, str]
    ) -> policy_decision.PolicyDecision:
        source = self._document
        rules = [
            rule for rule in source.selectors if rule.match.matches(labels)
        ]
        class_rule = next(
            (rule for rule in rules if rule.class_rank is not None), None
        )
        rank = source.default_class_rank
        if class_rule is not None and class_rule.class_rank is not None:
            rank = class_rule.class_rank
        once_only = any(rule.once_only for rule in rules)
        service = source.service(labels.get("service", ""))
        return policy_decision.PolicyDecision(
            class_rank=rank,
            class_name=source.classes[rank].name,
            protected=source.classes[rank].protected,
            once_only=once_only,
            idempotent=not once_only and any(rule.idempotent for rule in rules),
            strict=any(rule.strict for rule in rules),
            places=tuple(
                rule.place for rule in rules if rule.place is not None
            ),
            retry_budget=service.retry_budget,
            timeout_ms=service.timeout_ms,
            limit_cap=service.limit_cap,
            queue_cap=service.queue_cap,
            class_selector=class_rule.name if class_rule is not None else "",
            selectors=tuple(rule.name for rule in rules),
        )
