"""A configuration with ten thousand client accounts at a control instance.

Guards against instances that answer no heartbeat and lose their leadership
while they decode, encode or check it.
"""

import gc
import time

import pytest
from twisted.internet import defer

from cranberrymux.control import quota_service
from cranberrymux.control import quota_standby
from cranberrymux.control import stepwise
from cranberrymux.decisions.quotas import quota_settings
from cranberrymux.decisions.routes import document_check
from cranberrymux.decisions.routes import route_document
from cranberrymux.platform import configuration_format
from cranberrymux.telemetry import metrics
from cranberrymux.telemetry import metrics_settings
from tests.control import test_quota_service
from tests.platform import fleet

ACCOUNTS = 10_000
MAXIMUM_STEP_S = 0.02
KEY = "key-of-forty-characters-as-most-have-"


class Stopwatch:
    """Runs what is scheduled, and measures the longest uninterrupted step.

    Processor time is used, since other processes share the machine.
    """

    def __init__(self):
        self.calls = []
        self.longest_s = 0.0

    def callLater(self, delay_s, call, *arguments):
        assert delay_s == 0
        self.calls.append((call, arguments))

    def run(self, call, *arguments):
        result = self.measure(call, *arguments)
        while self.calls:
            call, arguments = self.calls.pop(0)
            self.measure(call, *arguments)
        return result

    def measure(self, call, *arguments):
        began_s = time.process_time()
        result = call(*arguments)
        self.longest_s = max(self.longest_s, time.process_time() - began_s)
        return result

    def run_steps(self, steps):
        results = []

        def begin():
            running = defer.ensureDeferred(stepwise.run(self, steps))
            running.addCallback(results.append)

        self.run(begin)
        return results[0]


@pytest.fixture
def stopwatch():
    """Exempts existing objects from collections, as a process does at start."""
    gc.collect()
    gc.freeze()
    yield Stopwatch()
    gc.unfreeze()


def make_body(version=1):
    rows = [
        [f"account-{index}", [f"{KEY}{index}"], 1, 10.0, 10.0]
        for index in range(ACCOUNTS)
    ]
    columns = ["name", "api_keys", "priority", "per_s", "burst"]
    return fleet.configuration(
        version, tenants={"columns": columns, "rows": rows}
    )


def test_decodes_checks_and_encodes_in_steps(stopwatch):
    body = make_body()
    document = stopwatch.run_steps(configuration_format.decode_in_steps(body))
    assert len(document.accounts) == ACCOUNTS
    assert stopwatch.measure(document_check.check, document, 0) is None
    text = stopwatch.run_steps(route_document.dump_in_steps(document))
    head = stopwatch.measure(route_document.load_head, text)
    assert head == (1, body.decode())
    assert stopwatch.run_steps(route_document.load_in_steps(text)) == document
    assert stopwatch.longest_s < MAXIMUM_STEP_S


def test_the_owner_of_the_quotas_takes_over_new_limits_in_steps(stopwatch):
    machine = test_quota_service.Machine()
    log = test_quota_service.Log()
    service = quota_service.QuotaService(
        quota_settings.QuotaSettings(),
        machine,
        log,
        metrics.build(metrics_settings.MetricsSettings("", "")),
        lambda: 10.0,
        stopwatch,
        quota_standby.QuotaStandby("c0", log, lambda: 10.0, 1),
    )
    service.tick()
    for version in (1, 2):
        document = configuration_format.decode(make_body(version))
        machine.configuration.version = version
        machine.configuration.document = route_document.dump(document)
        stopwatch.run(service.tick)
        assert len(service._accounts) == ACCOUNTS
    assert stopwatch.longest_s < MAXIMUM_STEP_S
