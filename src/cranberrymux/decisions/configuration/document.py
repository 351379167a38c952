"""The configuration document, checked as a whole."""

from collections.abc import Mapping
from typing import NamedTuple

from cranberrymux.decisions.configuration import class_rule
from cranberrymux.decisions.configuration import selector_rule
from cranberrymux.decisions.configuration import service_rule


class Document(NamedTuple):
    """A valid document.

    Attributes:
        classes: In order; the first is shed last. Never empty.
        selectors: In order; see `policy`.
        services: By name.
        default_service: Settings of services that are not named.
        default_class_rank: Class of requests that no selector gives one.
        strict_age_ms: A node refuses strict requests once no control
            instance has vouched for its configuration for this long.
    """

    classes: tuple[class_rule.ClassRule, ...]
    selectors: tuple[selector_rule.SelectorRule, ...]
    services: Mapping[str, service_rule.ServiceRule]
    default_service: service_rule.ServiceRule
    default_class_rank: int
    strict_age_ms: int

    def service(self, name: str) -> service_rule.ServiceRule:
        """Returns the settings of a service, or the defaults."""
        return self.services.get(name, self.default_service)
