"""Reports on suspects that are sent until a control instance has them.

Guards against a death that is forgotten because a report was lost, and against
a trial that two nodes run (issue 23).
"""

from twisted.internet import defer

from cranberrymux.decisions.quarantine import report_kind
from cranberrymux.decisions.quarantine import suspect_report
from cranberrymux.node import suspect_reporter
from cranberrymux.node import suspect_rows
from cranberrymux.wire import wire_error
from cranberrymux.wire.gen.messages import ttypes
from tests.fakes import control as control_module
from tests.fakes import memory_network

KIND = report_kind.ReportKind


def make_report(event_id="e1", kind=KIND.DEATH):
    return suspect_report.SuspectReport("/digest:d", kind, event_id)


class Setting:
    """A control instance and reporters of nodes that are connected to it."""

    def __init__(self):
        self.network = memory_network.MemoryNetwork()
        self.clock = memory_network.VirtualClock(self.network)
        self.control = control_module.Control(self.clock)

    def make_reporter(self, name="a#1"):
        return suspect_reporter.SuspectReporter(
            lambda: [self.control], name, self.network, self.clock
        )

    def read(self):
        rows = [
            ttypes.SuspectRow(fingerprint=name, event_ids=event_ids)
            for name, event_ids in self.control.suspects.read(0)
        ]
        return set(suspect_rows.decode_rows(rows))


def test_report_is_sent_again_until_it_is_taken():
    setting = Setting()
    setting.control.is_unreachable = True
    reporter = setting.make_reporter()
    reporter.add([make_report()])
    setting.network.run(3.0)
    assert reporter.pending == 1
    assert not setting.read()
    setting.control.is_unreachable = False
    setting.network.run(1.0)
    assert reporter.pending == 0
    assert setting.read() == {make_report()}


def test_every_kind_of_report_comes_back_as_it_was():
    setting = Setting()
    reporter = setting.make_reporter()
    reports = {
        make_report("e1"),
        make_report("e1", KIND.SOLE_DEATH),
        make_report("e1", KIND.CLEARED),
        make_report("trial-0", KIND.TRIAL),
        make_report("trial-0", KIND.CLEARED),
        make_report("trial-0", KIND.TRIAL_ENDED),
    }
    reporter.add(reports)
    setting.network.run(1.0)
    assert setting.read() == reports


def test_report_that_is_told_meanwhile_is_not_sent():
    setting = Setting()
    reporter = setting.make_reporter()
    reporter.add([make_report()], delay_s=1.0)
    setting.network.run(0.5)
    reporter.confirm([make_report()])
    setting.network.run(2.0)
    assert not setting.read()
    reporter.add([make_report("e2")], delay_s=1.0)
    setting.network.run(2.0)
    assert setting.read() == {make_report("e2")}


def test_pending_reports_are_bounded(monkeypatch):
    monkeypatch.setattr(suspect_reporter, "MAXIMUM_PENDING", 10)
    setting = Setting()
    setting.control.is_unreachable = True
    reporter = setting.make_reporter()
    reporter.add([make_report(f"e{number}") for number in range(100)])
    assert reporter.pending == 10


def claim(reporter, trial):
    results = []
    claimed = defer.ensureDeferred(reporter.claim_trial(trial))
    claimed.addCallback(results.append)
    return results


def test_one_node_is_granted_a_trial():
    setting = Setting()
    trial = make_report("trial-0", KIND.TRIAL)
    assert claim(setting.make_reporter("a#1"), trial) == [True]
    assert claim(setting.make_reporter("b#1"), trial) == [False]
    # A claim whose answer was lost is granted to the same process again.
    assert claim(setting.make_reporter("a#1"), trial) == [True]
    assert claim(setting.make_reporter("a#2"), trial) == [False]


def test_no_trial_is_granted_without_a_control_instance():
    setting = Setting()
    setting.control.is_unreachable = True
    trial = make_report("trial-0", KIND.TRIAL)
    assert claim(setting.make_reporter(), trial) == [False]
    setting.control.is_connected = False
    assert claim(setting.make_reporter(), trial) == [False]


class Losing:
    """Keeps reports, but every answer is lost."""

    is_connected = True

    def __init__(self, control):
        self._control = control
        self.before_answer = lambda: None

    async def report_suspect(self, report):
        await self._control.report_suspect(report)
        self.before_answer()
        return wire_error.WireError(wire_error.WireErrorReason.TIMEOUT, "lost")


def read_rows(setting):
    return [
        ttypes.SuspectRow(fingerprint=name, event_ids=event_ids)
        for name, event_ids in setting.control.suspects.read(0)
    ]


def make_losing_reporter(setting, name="a#1"):
    losing = Losing(setting.control)
    reporter = suspect_reporter.SuspectReporter(
        lambda: [losing], name, setting.network, setting.clock
    )
    return losing, reporter


def test_trial_that_was_granted_without_an_answer_is_unused():
    setting = Setting()
    trial = make_report("trial-0", KIND.TRIAL)
    _, reporter = make_losing_reporter(setting)
    assert claim(reporter, trial) == [False]
    rows = read_rows(setting)
    assert reporter.take_unused_trials(rows) == [trial]
    assert reporter.take_unused_trials(rows) == []


def test_trial_of_another_node_is_not_taken_for_unused():
    setting = Setting()
    trial = make_report("trial-0", KIND.TRIAL)
    assert claim(setting.make_reporter("b#1"), trial) == [True]
    _, reporter = make_losing_reporter(setting)
    assert claim(reporter, trial) == [False]
    assert reporter.take_unused_trials(read_rows(setting)) == []


def test_trial_that_is_told_before_its_claim_is_given_up_is_granted():
    setting = Setting()
    trial = make_report("trial-0", KIND.TRIAL)
    losing, reporter = make_losing_reporter(setting)
    unused = []
    losing.before_answer = lambda: unused.extend(
        reporter.take_unused_trials(read_rows(setting))
    )
    assert claim(reporter, trial) == [True]
    assert unused == []


def test_error_of_one_instance_leads_to_the_next():
    setting = Setting()

    class Broken:
        is_connected = True

        async def report_suspect(self, report):
            del report
            return wire_error.WireError(
                wire_error.WireErrorReason.REFUSED, "no quorum"
            )

    reporter = suspect_reporter.SuspectReporter(
        lambda: [Broken(), setting.control],
        "a#1",
        setting.network,
        setting.clock,
    )
    reporter.add([make_report()])
    assert setting.read() == {make_report()}
