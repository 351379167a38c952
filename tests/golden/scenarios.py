"""Scenarios of the recorded sessions, one for each guarantee and failure.

The name and the docstring of a scenario are part of its recording.
"""

from tests.fakes import backend
from tests.golden import session as sessions

_CLASSES = """\
classes:
  - {name: dispatch, protected: true}
  - {name: lookup}
  - {name: export}
default_class: export
selectors:
  - {name: crews, match: method = POST, class: dispatch, once_only: true}
  - {name: lookups, match: path = /lookup, class: lookup}
"""
_REQUEST_ID_LINE = "\r\ncranberrymux-request-id: " + sessions.REQUEST_ID


def _crew_request(number=1):
    return "POST /crew HTTP/1.1" + _REQUEST_ID_LINE.format(number)


def _get_request(path, number=None, principal=None):
    """Returns the request line and headers of a GET request."""
    head = f"GET {path} HTTP/1.1"
    if number is not None:
        head += _REQUEST_ID_LINE.format(number)
    if principal is not None:
        head += f"\r\ncranberrymux-principal: {principal}"
    return head


def _send_child_call(session, member, parent, service, extra=""):
    """Calls a service through a node's egress port, on behalf of `parent`."""
    context = dict(parent.head.headers)[b"cranberrymux-context"].decode()
    return session.send(
        member.node.get_status()["node_id"],
        member.egress_port,
        f"GET /below HTTP/1.1\r\ncranberrymux-service: {service}"
        f"\r\ncranberrymux-context: {context}{extra}",
    )


def retries_bounded_over_the_chain(session):
    """A call tries other endpoints only as far as its budget goes."""
    top = session.add("top-0", "top", calls=["leaf"])
    leaves = [session.add(f"leaf-{n}", "leaf") for n in range(6)]
    session.configure(_CLASSES + "default_retry_budget: 2\n")
    session.wait(0.5)
    for leaf in leaves:
        leaf.backend.crash()
    session.note("every leaf backend server dies")
    session.send("client", top.ingress_port, "GET /x HTTP/1.1")
    child_call = _send_child_call(session, top, top.backend.calls[0], "leaf")
    session.read(child_call)
    states = [member.node.get_status()["state"] for member in leaves]
    session.note(f"leaves that were tried: {states.count('gone')}")


def most_important_work_is_shed_last(session):
    """One slot, a bounded queue: exports go first, dispatches stay."""
    leaf = session.add("leaf-0", "leaf", slots=1)
    session.configure(_CLASSES.replace(", once_only: true", ""))
    clients = []
    for number in range(8):
        for head in (
            "GET /export HTTP/1.1",
            "GET /lookup HTTP/1.1",
            "POST /crew HTTP/1.1",
        ):
            client_name = f"{head.split()[1]} {number}"
            port = leaf.ingress_port
            clients.append(session.send(client_name, port, head, seconds=0.001))
    for _ in range(24):
        for call in leaf.backend.calls:
            if not call.is_answered:
                backend.answer_ok(call)
        session.wait(0.002)
    session.wait(0.5)
    for client in clients:
        session.read(client)


def each_gets_the_answer_to_their_own_request(session):
    """Pipelined, resent and foreign requests under slow answers."""
    leaf = session.add("leaf-0", "leaf")
    session.configure(_CLASSES)
    first = session.send(
        "ann",
        leaf.ingress_port,
        "GET /lookup HTTP/1.1"
        + _REQUEST_ID_LINE.format(1)
        + "\r\ncranberrymux-principal: ann",
    )
    resent = session.send(
        "ann again",
        leaf.ingress_port,
        "GET /lookup HTTP/1.1"
        + _REQUEST_ID_LINE.format(1)
        + "\r\ncranberrymux-principal: ann",
    )
    session.ask(
        "bob",
        leaf.ingress_port,
        "GET /lookup HTTP/1.1"
        + _REQUEST_ID_LINE.format(1)
        + "\r\ncranberrymux-principal: bob",
    )
    other = session.send("cid", leaf.ingress_port, _get_request("/lookup?c", 2))
    backend.answer_ok(leaf.backend.calls[1])
    session.wait(0.01)
    session.read(other)
    backend.answer_ok(leaf.backend.calls[0])
    session.wait(0.01)
    session.read(first)
    session.read(resent)


def not_run_is_only_said_when_proven(session):
    """The same loss before and after the hand-over."""
    top = session.add("top-0", "top", calls=["leaf"])
    leaf = session.add("leaf-0", "leaf")
    session.configure(_CLASSES + "default_retry_budget: 0\n")
    session.wait(0.5)
    session.send("client", top.ingress_port, "GET /x HTTP/1.1")
    child_call = _send_child_call(session, top, top.backend.calls[0], "leaf")
    leaf.backend.crash()
    session.note("leaf-0's backend server dies with the call in hand")
    session.wait(0.3)
    session.read(child_call)
    session.ask("client", leaf.ingress_port, "GET /lookup HTTP/1.1")
    leaf.backend.start()
    session.cluster.announce(leaf)
    session.wait(0.6)
    child_call = _send_child_call(session, top, top.backend.calls[0], "leaf")
    session.cluster.network.stop_listening(leaf.ingress_port)
    session.note("leaf-0's node ends: nobody can vouch")
    session.wait(0.5)
    session.read(child_call)


def a_dispatch_runs_at_most_once(session):
    """Resends at two nodes, a crash, a lost quorum."""
    first = session.add("crew-0", "crew")
    second = session.add("crew-1", "crew")
    session.configure(_CLASSES)
    session.send("ann", first.ingress_port, _crew_request(1), b"abc")
    session.ask("ann at crew-1", second.ingress_port, _crew_request(1), b"abc")
    backend.answer_ok(first.backend.calls[0])
    session.wait(0.05)
    session.ask("ann at crew-1", second.ingress_port, _crew_request(1), b"abc")
    session.ask(
        "ann, other body", second.ingress_port, _crew_request(1), b"xyz"
    )
    session.send("bob", first.ingress_port, _crew_request(2), b"abc")
    first.backend.crash()
    session.note("crew-0's backend server dies")
    session.wait(0.1)
    session.ask("bob at crew-1", second.ingress_port, _crew_request(2), b"abc")
    session.cluster.control.is_unreachable = True
    session.note("no control instance answers")
    session.ask("cid", second.ingress_port, _crew_request(3), b"abc")
    session.cluster.control.is_unreachable = False
    session.send("cid", second.ingress_port, _crew_request(3), b"abc")
    runs = len(first.backend.calls) + len(second.backend.calls)
    session.note(f"runs in all: {runs}")


def a_leaving_backend_server_gets_no_new_work(session):
    """An operator drains an endpoint; its callers move on."""
    top = session.add("top-0", "top", calls=["leaf"])
    leaves = [
        session.add(f"leaf-{n}", "leaf", answer=backend.answer_ok)
        for n in range(2)
    ]
    session.configure(_CLASSES)
    session.wait(0.5)
    session.send("client", top.ingress_port, "GET /x HTTP/1.1")
    leaves[0].node.drain()
    session.note("leaf-0 drains")
    for _ in range(6):
        session.read(
            _send_child_call(session, top, top.backend.calls[0], "leaf")
        )
        session.wait(0.5)
    session.ask("client", leaves[0].ingress_port, "GET /lookup HTTP/1.1")


def a_planned_stop_cuts_off_nothing(session):
    """A stop waits for the call in flight."""
    leaf = session.add("leaf-0", "leaf")
    session.configure(_CLASSES)
    client = session.send("ann", leaf.ingress_port, "GET /lookup HTTP/1.1")
    leaf.node.stop()
    session.note("leaf-0 is asked to stop")
    session.wait(4)
    session.note(f"leaf-0 is {leaf.node.get_status()['state']}")
    backend.answer_ok(leaf.backend.calls[0])
    session.wait(0.3)
    session.read(client)
    session.note(f"leaf-0 is {leaf.node.get_status()['state']}")


def configuration_never_reverts(session):
    """Versions rise; a node that lagged fetches before it serves."""
    top = session.add("top-0", "top", calls=["leaf"])
    leaf = session.add("leaf-0", "leaf", answer=backend.answer_ok)
    session.configure(_CLASSES)
    session.cluster.control.version = 400
    top.node.directory.send_heartbeats()
    session.note("399 changes later; only top-0 has heard")
    session.ask(
        "top", top.egress_port, "GET /b HTTP/1.1\r\ncranberrymux-service: leaf"
    )
    session.note(f"leaf-0 has version {leaf.node.configuration_version}")
    session.cluster.control.version = 3
    session.wait(1)
    version = leaf.node.configuration_version
    session.note(f"an old control instance tells 3; leaf-0 has {version}")


def a_silent_cut_of_control(session):
    """Calls go on with what is known; strict ones end."""
    leaf = session.add("leaf-0", "leaf", answer=backend.answer_ok)
    strict = "  - {name: strict, match: path = /strict, strict: true}\n"
    session.configure(_CLASSES + strict + "strict_age_ms: 5000\n")
    session.ask("ann", leaf.ingress_port, "GET /strict HTTP/1.1")
    session.cluster.control.is_unreachable = True
    session.note("no control instance answers")
    session.wait(20)
    session.ask("ann", leaf.ingress_port, "GET /strict HTTP/1.1")
    session.ask("ann", leaf.ingress_port, "GET /lookup HTTP/1.1")
    session.cluster.control.is_unreachable = False
    session.wait(1)
    session.ask("ann", leaf.ingress_port, "GET /strict HTTP/1.1")


def a_restart_comes_back_to_the_current_configuration(session):
    """A new node serves nothing before it was told the configuration."""
    session.cluster.control.version = 300
    session.cluster.control.document = _CLASSES
    session.cluster.control.is_unreachable = True
    leaf = session.add("leaf-0", "leaf", answer=backend.answer_ok)
    session.ask("ann", leaf.ingress_port, "GET /lookup HTTP/1.1")
    session.cluster.control.is_unreachable = False
    session.note("a control instance answers again")
    session.wait(0.5)
    session.note(f"leaf-0 has version {leaf.node.configuration_version}")
    session.ask("ann", leaf.ingress_port, "GET /lookup HTTP/1.1")


def one_request_that_crashes_backend_servers(session):
    """Sent again and again to three endpoints in turn."""
    leaves = [session.add(f"leaf-{n}", "leaf") for n in range(3)]
    session.configure(_CLASSES)
    session.wait(0.5)
    for number in range(6):
        leaf = leaves[number % 3]
        calls_before = len(leaf.backend.calls)
        client = session.send("ann", leaf.ingress_port, _get_request("/bad", 1))
        if len(leaf.backend.calls) > calls_before:
            leaf.backend.crash()
            session.note(f"leaf-{number % 3}'s backend server dies")
            session.wait(0.1)
            leaf.backend.start()
            session.cluster.announce(leaf)
        session.read(client)
        session.wait(0.4)
    session.ask(
        "bob", leaves[0].ingress_port, "GET /good HTTP/1.1", seconds=0.01
    )


SCENARIOS = (
    retries_bounded_over_the_chain,
    most_important_work_is_shed_last,
    each_gets_the_answer_to_their_own_request,
    not_run_is_only_said_when_proven,
    a_dispatch_runs_at_most_once,
    a_leaving_backend_server_gets_no_new_work,
    a_planned_stop_cuts_off_nothing,
    configuration_never_reverts,
    a_silent_cut_of_control,
    a_restart_comes_back_to_the_current_configuration,
    one_request_that_crashes_backend_servers,
)
