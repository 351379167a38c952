"""Builders of routers, records and contexts for the tests of routing."""

import random

from cranberrymux.decisions.routing import router as router_module
from cranberrymux.decisions.routing import router_settings
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state
from cranberrymux.models import request_context

SETTINGS = router_settings.RouterSettings(region="r", zone="z0")
CONTEXT = request_context.RequestContext("id", "1", "ann", 1000, 1, 5, 3, 1)


def record(number, **changes):
    fields = {
        "service": "notes",
        "endpoint_id": f"e{number}",
        "incarnation": 1,
        "sequence": 1,
        "address": "127.0.0.1",
        "port": 1000 + number,
        "region": "r",
        "zone": "z0",
        "labels": {"store": "a"},
        "slots": 10,
        "state": endpoint_state.EndpointState.SERVING,
    }
    return endpoint_record.EndpointRecord(**{**fields, **changes})


def make_router(records, settings=SETTINGS, seed=1):
    router = router_module.Router(settings, random.Random(seed))
    router.update_endpoints(0.0, "notes", records)
    return router


def context(priority):
    rank, shed_hash = divmod(priority, request_context.SHED_HASHES)
    return CONTEXT._replace(class_rank=rank, shed_hash=shed_hash)


def finish(router, now_s, endpoint_id, outcome, latency_s=0.01, **reported):
    router.call_started(now_s, endpoint_id)
    router.call_finished(now_s, endpoint_id, outcome, latency_s, **reported)


def count_choices(router, now_s, calls=1000, **arguments):
    counts = {}
    for _ in range(calls):
        chosen = router.choose(now_s, "notes", CONTEXT, **arguments)
        counts[chosen.endpoint_id] = counts.get(chosen.endpoint_id, 0) + 1
    return counts
