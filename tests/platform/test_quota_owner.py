"""Tokens of client accounts from control instances as real processes.

Guards against an instance that hands out tokens without leading, an owner that
nodes do not hear of after the leader was killed, and figures of quotas that
operators cannot read where accounts are configured.
"""

import json
import os
import subprocess
import sys
import time

from thrift.transport import TTransport

from cranberrymux.platform import settings_file
from cranberrymux.wire.gen.messages import ttypes
from tests.control import calls
from tests.platform import fleet as fleet_module

TENANTS = {
    "columns": ["name", "api_keys", "priority", "per_s", "burst"],
    "rows": [["mill", ["k1"], 1, 100, 100], ["free", ["k2"], 1, None, None]],
}


def call(instance, name, message):
    """Returns the answer or a `Refused`; None without an answer."""
    try:
        return calls.call(
            instance.fleet.port,
            name,
            message,
            key=settings_file.CLUSTER_KEY,
            timeout_s=0.5,
            host=instance.ip,
        )
    except ttypes.Refused as refused:
        return refused
    except (OSError, TTransport.TTransportException, EOFError):
        return None


def find_owner(fleet):
    """Returns the instance that the others name and that is alive."""
    heartbeat = ttypes.Heartbeat(
        node_id="n",
        incarnation=1,
        endpoints=[],
        services=[],
        directory_revision=0,
        configuration_version=0,
        directory_epoch="",
    )
    for asked in fleet.instances:
        answer = call(asked, "heartbeat", heartbeat)
        for instance in fleet.instances:
            address = f"{instance.ip}:{fleet.port}"
            is_named = getattr(answer, "quota_owner", None) == address
            if is_named and instance.process.poll() is None:
                return instance
    return None


def take(instance, session):
    return call(
        instance,
        "take_quota",
        ttypes.QuotaRequest(
            node_id="n",
            incarnation=session,
            sequence=1,
            rows=[ttypes.QuotaRow(account="mill", tokens=-5, used=0)],
            configuration_version=1,
        ),
    )


def take_of_pool(instance):
    """Returns how many tokens an instance passes on from its pool."""
    answer = call(
        instance,
        "take_quota",
        ttypes.QuotaRequest(
            node_id="n",
            incarnation=0,
            sequence=0,
            rows=[ttypes.QuotaRow(account="mill", tokens=1, used=0)],
            configuration_version=1,
        ),
    )
    rows = getattr(answer, "rows", None)
    return rows[0].tokens if rows else 0


def find_granting_owner(fleet, sessions):
    """Returns the owner if it hands out a token; else None."""
    owner = find_owner(fleet)
    answer = owner and take(owner, next(sessions))
    rows = getattr(answer, "rows", None)
    return owner if rows and rows[0].tokens > 0 else None


def show_accounts(fleet, tmp_path, *arguments):
    """Runs `cranberrymux accounts` against all instances."""
    token = tmp_path / "token"
    token.write_text("not checked by the platform's port")
    addresses = [f"{each.ip}:{fleet.control_port}" for each in fleet.instances]
    return subprocess.run(
        [sys.executable, "-m", "cranberrymux.cli", "accounts", *arguments],
        capture_output=True,
        text=True,
        env={
            **os.environ,
            "CRANBERRYMUX_ADDRESSES": ",".join(addresses),
            "CRANBERRYMUX_TOKEN_FILE": str(token),
        },
        timeout=20,
        check=False,
    )


def count_voters(instance):
    """Returns how many voters an instance knows of."""
    changes = [
        event["voters"]
        for event in instance.events()
        if event["event"] == "members-changed"
    ]
    return len(changes[-1]) if changes else 0


def test_the_leader_hands_out_tokens_and_so_does_its_successor(tmp_path):
    with fleet_module.Fleet(tmp_path, 4) as fleet:
        body = fleet_module.configuration(1, tenants=TENANTS)
        fleet_module.wait_until(
            lambda: any(
                each.put(1, 0, body=body) == 200 for each in fleet.instances
            )
        )
        # A quorum of four is three, so that all must know of one another before
        # the leader is killed.
        fleet_module.wait_until(
            lambda: all(count_voters(each) == 4 for each in fleet.instances)
        )
        sessions = iter(range(1, 1000))
        owner = fleet_module.wait_until(
            lambda: find_granting_owner(fleet, sessions)
        )
        for other in fleet.instances:
            if other is not owner:
                assert take(other, 1).reason == "not the owner of the quotas"
        others = [each for each in fleet.instances if each is not owner]
        used_s = time.monotonic()

        def have_pools():
            nonlocal used_s
            if time.monotonic() - used_s > 1.0:
                # Accounts that are not used need no pool.
                used_s = time.monotonic()
                take(owner, next(sessions))
            return all(take_of_pool(each) for each in others)

        # A new owner fills no pool for 3 s.
        fleet_module.wait_until(have_pools)
        shown = show_accounts(fleet, tmp_path, "--output", "json")
        assert shown.returncode == 0, shown.stderr
        answer = json.loads(shown.stdout)
        assert answer["owner"] == owner.ip
        assert [use["account"] for use in answer["accounts"]] == ["mill"]
        # The tokens of a new owner end with its leader lease, which may be
        # before the command has started.
        use = answer["accounts"][0]
        assert use["out"] + use["lapsed"] > 0
        owner.kill()
        lost_s = time.monotonic()
        assert sum(take_of_pool(each) for each in others) == len(others)
        fleet_module.wait_until(lambda: find_granting_owner(fleet, sessions))
        took_s = time.monotonic() - lost_s
        assert took_s < 2.0
