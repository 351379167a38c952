"""A configuration with ten thousand client accounts.

Guards against nodes that answer nothing while they decode it.
"""

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.routes import route_document
from tests import new_process
from tests import stopwatch
from tests.gateway import mesh as mesh_module

ACCOUNTS = 10_000
MAXIMUM_STEP_S = 0.02


def make_text(label, accounts=ACCOUNTS):
    document = mesh_module.make_document(
        mesh_module.make_route("read", "deep"), label=label
    )
    return route_document.dump(
        document._replace(
            accounts=tuple(
                client_account.ClientAccount(
                    f"account-{index}", (f"{index}-key-a", f"{index}-key-b")
                )
                for index in range(accounts)
            )
        )
    )


def test_serves_requests_between_the_steps_of_decoding():
    mesh = mesh_module.Mesh("front", "deep")
    mesh.configure(mesh_module.make_route("read", "deep"))
    node = mesh.members[0].gateway
    node.updates.configuration_changed(2, make_text(2))
    assert node.updates.configuration_version == 1
    assert mesh.ask(0, "/read/x", wait=0.02).statuses == [200]
    mesh.network.run(1.0)
    assert node.updates.configuration_version == 2
    keyed = [("X-Api-Key", "9999-key-b")]
    assert mesh.ask(0, "/read/x").statuses == [401]
    assert mesh.ask(0, "/read/x", headers=keyed).statuses == [200]


def test_a_newer_version_ends_the_decoding_of_an_older_one():
    mesh = mesh_module.Mesh("front", "deep")
    node = mesh.members[0].gateway
    node.updates.configuration_changed(1, make_text(1))
    node.updates.configuration_changed(2, make_text(2, accounts=1))
    assert node.updates.configuration_version == 2
    mesh.network.run(1.0)
    assert node.updates.configuration_version == 2


def longest_step_of_decoding_s():
    watch = stopwatch.Stopwatch()
    watch.run_steps(route_document.load_in_steps(make_text(1)))
    return watch.longest_s


def test_no_step_keeps_the_node_from_its_requests():
    assert new_process.run(longest_step_of_decoding_s) < MAXIMUM_STEP_S
