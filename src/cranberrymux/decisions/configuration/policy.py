"""Decides by the document how a request is to be treated."""

from collections.abc import Mapping

from cranberrymux.decisions.configuration import document
from cranberrymux.decisions.configuration import treatment

MAXIMUM_CACHED = 10_000


class Policy:
    """A document ready for use on the path of a call.

    The first selector that matches and names a class decides the class.
    `once_only` and `strict` hold if any matching selector says so. Every
    matching place must hold. `idempotent` holds if any matching selector
    says so and none says once only.

    Answers are cached by the values of those labels that the selectors read;
    the cache is emptied when it holds `MAXIMUM_CACHED` answers.
    """

    def __init__(self, source: document.Document, version: int) -> None:
        """Prepares a document.

        Args:
            source: The document.
            version: Its version.
        """
        self._document = source
        self._version = version
        names = {
            term.name for rule in source.selectors for term in rule.match.terms
        }
        self._names = ("service", *sorted(names - {"service"}))
        self._cache: dict[tuple[str | None, ...], treatment.Treatment] = {}

    @property
    def version(self) -> int:
        """Version of the document."""
        return self._version

    @property
    def document(self) -> document.Document:
        """The document."""
        return self._document

    def decide(self, labels: Mapping[str, str]) -> treatment.Treatment:
        """Returns the treatment of a request.

        Args:
            labels: As `selectors.request_labels` makes them; `service` is
                among them.
        """
        key = tuple(map(labels.get, self._names))
        found = self._cache.get(key)
        if found is None:
            found = self._decide(labels)
            if len(self._cache) >= MAXIMUM_CACHED:
                self._cache.clear()
            self._cache[key] = found
        return found

    def _decide(self, labels: Mapping[str, str]) -> treatment.Treatment:
        source = self._document
        rules = [one for one in source.selectors if one.match.matches(labels)]
        chosen = next(
            (one for one in rules if one.class_rank is not None), None
        )
        rank = source.default_class_rank
        if chosen is not None and chosen.class_rank is not None:
            rank = chosen.class_rank
        once_only = any(one.once_only for one in rules)
        service = source.service(labels.get("service", ""))
        return treatment.Treatment(
            class_rank=rank,
            class_name=source.classes[rank].name,
            protected=source.classes[rank].protected,
            once_only=once_only,
            idempotent=not once_only and any(one.idempotent for one in rules),
            strict=any(one.strict for one in rules),
            places=tuple(one.place for one in rules if one.place is not None),
            retry_budget=service.retry_budget,
            timeout_ms=service.timeout_ms,
            limit_cap=service.limit_cap,
            queue_cap=service.queue_cap,
            class_selector=chosen.name if chosen is not None else "",
            selectors=tuple(one.name for one in rules),
        )
