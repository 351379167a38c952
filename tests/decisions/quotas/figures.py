"""Prints the figures of docs/design/quotas.md.

python -m tests.decisions.quotas.figures
"""

from tests.decisions.quotas import fleet as fleet_module

PER_NODE_PER_S = 12.0
START_S = 1.0  # Nodes start without tokens.
OWNER_GAP_S = 0.9
AFTER_LOSS_S = 5.0


def make(node_count, kind, seconds, factor=1.0):
    accounts, rates = fleet_module.make_zipf_accounts(
        PER_NODE_PER_S * node_count
    )
    fleet = fleet_module.Fleet(node_count, accounts)
    for name, rate in rates.items():
        fleet.offer(name, factor * rate, seconds, make_pick(fleet, kind))
    return fleet


def make_pick(fleet, kind):
    nodes = fleet.nodes
    if kind == "moving":
        offset = fleet.generator.randrange(len(nodes))
        return lambda time_s: nodes[(offset + int(time_s)) % len(nodes)]
    count = {"one": 1, "four": 4, "all": len(nodes)}[kind]
    chosen = fleet.generator.sample(nodes, count)
    return lambda time_s: fleet.generator.choice(chosen)


def describe(fleet, from_s, to_s, seconds):
    failed, owed = fleet.count_denied(from_s, to_s)
    messages = sum(node.messages for node in fleet.nodes)
    per_node = messages / len(fleet.nodes) / seconds
    return (
        f"refused {failed / owed:.2%} of {owed}, "
        f"excess {fleet.find_worst_excess():.0f}, "
        f"{per_node:.1f} messages a second and node"
    )


def print_steady(node_count, kind, seconds, factor=1.0):
    fleet = make(node_count, kind, seconds, factor)
    start_s = fleet.now_s
    fleet.run(seconds)
    text = describe(fleet, start_s + START_S, fleet.now_s - 0.2, seconds)
    print(f"steady, {node_count} nodes, {kind}, x{factor}: {text}")


def print_loss(kind):
    fleet = make(51, kind, 9.0)
    fleet.run(3.0)
    lost_s = fleet.now_s
    fleet.owner = None
    fleet.run(OWNER_GAP_S)
    fleet.start_owner()
    fleet.run(AFTER_LOSS_S + 0.5 - OWNER_GAP_S)
    end_s = lost_s + AFTER_LOSS_S
    print(f"owner lost, {kind}: {describe(fleet, lost_s, end_s, 8.5)}")
    text = describe(fleet, lost_s + OWNER_GAP_S + 0.1, end_s, 8.5)
    print(f"  from the new owner on: {text}")


def main():
    for kind in ("all", "one", "moving"):
        print_steady(8, kind, 15.0)
        print_steady(51, kind, 6.0)
        print_steady(300, kind, 3.0)
    for factor in (1.3, 1.6, 2.5):
        print_steady(51, "all", 8.0, factor)
    for kind in ("one", "four", "all", "moving"):
        print_loss(kind)


if __name__ == "__main__":
    main()
