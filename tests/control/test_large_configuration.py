"""A configuration with ten thousand client accounts at a control instance.

Guards against instances that answer no heartbeat and lose their leadership
while they decode, encode, check or apply it, against its refusal for its size,
and against a part of it that is in force after a power failure.
"""

import random

from cranberrymux.control import conversions
from cranberrymux.control import quota_service
from cranberrymux.control import quota_standby
from cranberrymux.control import route_changes
from cranberrymux.control import state_machine
from cranberrymux.decisions.claims import claim_settings
from cranberrymux.decisions.configuration import change
from cranberrymux.decisions.configuration import ledger_settings
from cranberrymux.decisions.quotas import quota_settings
from cranberrymux.decisions.routes import document_check
from cranberrymux.decisions.routes import route_document
from cranberrymux.platform import configuration_format
from cranberrymux.telemetry import metrics
from cranberrymux.telemetry import metrics_settings
from cranberrymux.wire import codec
from cranberrymux.wire.gen.messages import ttypes
from tests import new_process
from tests import stopwatch
from tests.control import test_quota_service
from tests.platform import fleet

ACCOUNTS = 10_000
MAXIMUM_STEP_S = 0.02
KEY = "key-of-forty-characters-as-most-have-"


def make_body(version=1, accounts=ACCOUNTS, make_key=None):
    rows = [
        [
            f"account-{index}",
            [make_key() if make_key else f"{KEY}{index}"],
            1,
            10.0,
            10.0,
        ]
        for index in range(accounts)
    ]
    columns = ["name", "api_keys", "priority", "per_s", "burst"]
    return fleet.configuration(
        version, tenants={"columns": columns, "rows": rows}
    )


def longest_step_of_decoding_s():
    watch = stopwatch.Stopwatch()
    body = make_body()
    document = watch.run_steps(configuration_format.decode_in_steps(body))
    assert len(document.accounts) == ACCOUNTS
    checking = document_check.check_in_steps(document, 0)
    assert watch.run_steps(checking) is None
    text = watch.run_steps(route_document.dump_in_steps(document))
    head = watch.run_steps(route_document.load_head_in_steps(text))
    assert head == (1, body.decode())
    assert watch.run_steps(route_document.load_in_steps(text)) == document
    return watch.longest_s


def test_decodes_checks_and_encodes_in_steps():
    assert new_process.run(longest_step_of_decoding_s) < MAXIMUM_STEP_S


def longest_step_of_new_limits_s():
    watch = stopwatch.Stopwatch()
    machine = test_quota_service.Machine()
    log = test_quota_service.Log()
    service = quota_service.QuotaService(
        quota_settings.QuotaSettings(),
        machine,
        log,
        metrics.build(metrics_settings.MetricsSettings("", "")),
        lambda: 10.0,
        watch,
        quota_standby.QuotaStandby("c0", log, lambda: 10.0, 1),
    )
    service.tick()
    for version in (1, 2):
        document = configuration_format.decode(make_body(version))
        machine.configuration.version = version
        machine.configuration.document = route_document.dump(document)
        watch.run(service.tick)
        assert len(service._accounts) == ACCOUNTS
    return watch.longest_s


def test_the_owner_of_the_quotas_takes_over_new_limits_in_steps():
    assert new_process.run(longest_step_of_new_limits_s) < MAXIMUM_STEP_S


def make_random_body(version=1, accounts=ACCOUNTS):
    """Makes a body with random keys, which compress badly."""
    generator = random.Random(version)
    return make_body(
        version, accounts, lambda: f"{generator.getrandbits(160):040x}"
    )


def encode_command(text, version=1):
    requested = change.Change(f"change-{version}", version - 1, "a", text)
    return codec.encode(
        ttypes.Command(at_ms=1, change=conversions.encode_change(requested))
    )


def make_machine():
    return state_machine.StateMachine(claim_settings.ClaimSettings())


def longest_step_of_a_change_s():
    watch = stopwatch.Stopwatch()
    machine = make_machine()
    for version in (1, 2):
        body = make_random_body(version)
        document = watch.run_steps(configuration_format.decode_in_steps(body))
        text = watch.run_steps(route_document.dump_in_steps(document))
        assert len(text) <= route_changes.MAXIMUM_STORED_CHARACTERS
        payload = watch.measure(encode_command, text, version)
        answer = watch.measure(machine.apply, payload)
        assert answer.change.verdict == ttypes.ChangeVerdict.ACCEPTED
        assert watch.measure(route_document.load_label, text) == version
    parts = []
    snapshot_parts = watch.measure(machine.dump)
    while (part := watch.measure(next, snapshot_parts, None)) is not None:
        parts.append(part)
    restored = make_machine()
    watch.measure(restored.restore, b"".join(parts))
    assert restored.configuration.document == text
    return watch.longest_s


def test_applies_and_stores_it_in_steps():
    """Also with random keys, of which little is saved by compression."""
    assert new_process.run(longest_step_of_a_change_s) < MAXIMUM_STEP_S


def test_four_mebibytes_fit_into_one_command():
    body = make_random_body(accounts=53_000)
    assert len(body) >= 4 << 20
    text = route_document.dump(configuration_format.decode(body))
    assert len(text) <= route_changes.MAXIMUM_STORED_CHARACTERS
    machine = make_machine()
    assert machine.apply(encode_command(text)).committed
    assert route_document.load(text).source == body.decode()


def test_large_documents_do_not_add_up_in_the_snapshot():
    """Guards against snapshots that exceed what an instance accepts."""
    machine = make_machine()
    text = "x" * (1 << 20)
    for version in range(1, 11):
        machine.apply(encode_command(f"{text}{version}", version))
    kept = [machine.configuration.document_of(v) for v in range(1, 11)]
    assert kept[-1] == f"{text}10"
    older = sum(len(document) for document in kept[:-1] if document)
    limit = ledger_settings.DEFAULTS.document_characters
    assert 0 < older <= limit
