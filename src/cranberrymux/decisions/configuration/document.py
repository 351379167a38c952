"""The validated configuration document."""

from collections.abc import Mapping
from typing import NamedTuple

from cranberrymux.decisions.configuration import request_class
from cranberrymux.decisions.configuration import selector_rule
from cranberrymux.decisions.configuration import service_settings


class Document(NamedTuple):
    """A document whose values and cross-references are valid.

    Attributes:
        classes: Request classes by rank; the first is shed last. Never empty.
        selectors: Selector rules in the order of the document; `policy`
            combines those that match.
        services: Settings of the services that the document names, by name.
        default_service: Settings of all other services.
        default_class_rank: Rank of requests to which no selector assigns a
            class.
        strict_age_ms: A node refuses strict requests when no control instance
            has confirmed its configuration for this many milliseconds.
    """

    classes: tuple[request_class.RequestClass, ...]
    selectors: tuple[selector_rule.SelectorRule, ...]
    services: Mapping[str, service_settings.ServiceSettings]
    default_service: service_settings.ServiceSettings
    default_class_rank: int
    strict_age_ms: int

    def service(self, name: str) -> service_settings.ServiceSettings:
        """Returns the settings of a service; the defaults if it has none."""
        return self.services.get(name, self.default_service)
