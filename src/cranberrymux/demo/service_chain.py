"""The chain of three services of the demo and its configuration."""

from cranberrymux.demo import service_plan

ZONES = ("zone-0", "zone-1")
ENTRY_SERVICE = "crew-dispatch"
MIDDLE_SERVICE = "address-history"
LEAF_SERVICE = "leak-notes"
LEAF_SLOTS = 13
LEAF_SERVICE_TIME_MS = 100.0
CRASH_MARKER = "boom"

SERVICE_PLANS = (
    service_plan.ServicePlan(
        LEAF_SERVICE, ZONES, LEAF_SLOTS, LEAF_SERVICE_TIME_MS
    ),
    service_plan.ServicePlan(
        MIDDLE_SERVICE,
        ZONES,
        50,
        10.0,
        (LEAF_SERVICE,),
        crash_marker=CRASH_MARKER,
    ),
    service_plan.ServicePlan(ENTRY_SERVICE, ZONES, 70, 10.0, (MIDDLE_SERVICE,)),
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
