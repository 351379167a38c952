"""Schema of the configuration document: keys, ranges and defaults."""

from cranberrymux.settings import field

_MAXIMUM_NAME_CHARACTERS = 64
_MAXIMUM_CLASSES = 16
_MAXIMUM_SELECTORS = 1000
_MAXIMUM_SERVICES = 5000
_MAXIMUM_TIMEOUT_MS = 600_000
_MAXIMUM_RETRIES = 100
_MAXIMUM_CALLS = 100_000

_NAME = field.Field(
    "name", field.Kind.TEXT, minimum=1, maximum=_MAXIMUM_NAME_CHARACTERS
)
_CLASS_FIELDS = (
    _NAME,
    field.Field("protected", field.Kind.FLAG, default=False),
)
_SELECTOR_FIELDS = (
    _NAME,
    field.Field("match", field.Kind.TEXT),
    field.Field("class", field.Kind.TEXT, default=None),
    field.Field("once_only", field.Kind.FLAG, default=False),
    field.Field("idempotent", field.Kind.FLAG, default=False),
    field.Field("place", field.Kind.TEXT, default=None),
    field.Field("strict", field.Kind.FLAG, default=False),
)
_SERVICE_FIELDS = (
    _NAME,
    field.Field(
        "retry_budget",
        field.Kind.INTEGER,
        default=None,
        minimum=0,
        maximum=_MAXIMUM_RETRIES,
    ),
    field.Field(
        "timeout_ms",
        field.Kind.INTEGER,
        default=None,
        minimum=1,
        maximum=_MAXIMUM_TIMEOUT_MS,
    ),
    field.Field(
        "limit_cap",
        field.Kind.INTEGER,
        default=0,
        minimum=0,
        maximum=_MAXIMUM_CALLS,
    ),
    field.Field(
        "queue_cap",
        field.Kind.INTEGER,
        default=0,
        minimum=0,
        maximum=_MAXIMUM_CALLS,
    ),
)

FIELDS = (
    field.Field(
        "classes",
        field.Kind.MAP_LIST,
        minimum=1,
        maximum=_MAXIMUM_CLASSES,
        item_fields=_CLASS_FIELDS,
    ),
    field.Field(
        "selectors",
        field.Kind.MAP_LIST,
        default=[],
        maximum=_MAXIMUM_SELECTORS,
        item_fields=_SELECTOR_FIELDS,
    ),
    field.Field(
        "services",
        field.Kind.MAP_LIST,
        default=[],
        maximum=_MAXIMUM_SERVICES,
        item_fields=_SERVICE_FIELDS,
    ),
    field.Field("default_class", field.Kind.TEXT, default=None),
    field.Field(
        "default_retry_budget",
        field.Kind.INTEGER,
        default=3,
        minimum=0,
        maximum=_MAXIMUM_RETRIES,
    ),
    field.Field(
        "default_timeout_ms",
        field.Kind.INTEGER,
        default=5000,
        minimum=1,
        maximum=_MAXIMUM_TIMEOUT_MS,
    ),
    field.Field(
        "strict_age_ms",
        field.Kind.INTEGER,
        default=10_000,
        minimum=100,
        maximum=86_400_000,
    ),
)
