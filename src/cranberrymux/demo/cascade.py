"""The chain of three services of the demo and its configuration."""

from cranberrymux.demo import service_plan

ZONES = ("zone-0", "zone-1")
ENTRY = "crew-dispatch"
MIDDLE = "address-history"
DEEP = "leak-notes"
DEEP_SLOTS = 13
DEEP_TIME_MS = 100.0
CRASH_MARKER = "boom"

PLANS = (
    service_plan.ServicePlan(DEEP, ZONES, DEEP_SLOTS, DEEP_TIME_MS),
    service_plan.ServicePlan(
        MIDDLE, ZONES, 50, 10.0, (DEEP,), crash_marker=CRASH_MARKER
    ),
    service_plan.ServicePlan(ENTRY, ZONES, 70, 10.0, (MIDDLE,)),
)

CONFIGURATION = """\
classes:
  - {name: dispatch, protected: true}
  - {name: lookup, protected: true}
  - {name: export}
selectors:
  - name: crews
    match: service = crew-dispatch, method = POST
    class: dispatch
    once_only: true
  - {name: lookups, match: path = /lookup, class: lookup, idempotent: true}
  - {name: exports, match: path = /export, class: export, idempotent: true}
default_class: export
default_retry_budget: 2
"""
