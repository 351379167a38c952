"""Guards against requests that go to the wrong service.

That happens when a shorter prefix or another host matches, when an invalid or
older document takes effect, when the stored text loses a field, or when the
split deviates from the weights.
"""

import collections

import pytest

from cranberrymux.decisions.routes import document_check
from cranberrymux.decisions.routes import packed_document
from cranberrymux.decisions.routes import route as route_module
from cranberrymux.decisions.routes import route_document
from cranberrymux.decisions.routes import route_table
from cranberrymux.decisions.routes import split_chooser
from cranberrymux.models import steps
from tests.gateway import mesh

make_route = mesh.make_route
make_document = mesh.make_document
Target = route_module.Target


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/a/x", "short"),
        ("/a/b/x", "long"),
        ("/a/b/", "long"),
        ("/a/bx", "short"),
        ("/a", None),
        ("/other/a/b/", None),
    ],
)
def test_path_is_matched_by_longest_prefix(path, expected):
    table = route_table.RouteTable(
        make_document(
            make_route("short", "s", prefix="/a/"),
            make_route("long", "s", prefix="/a/b/"),
        )
    )
    route = table.find(mesh.HOST, path)
    assert (route.name if route else None) == expected


def test_host_without_route_finds_none_and_port_is_ignored():
    table = route_table.RouteTable(make_document(make_route("a", "s")))
    assert table.find("other.example", "/a/x") is None
    assert table.find(mesh.HOST + ":80", "/a/x") is not None


def test_dumped_document_loads_equal_and_truncated_text_is_an_error():
    document = make_document(
        make_route("a", "s", repeatability=route_module.Repeatability.ONCE),
        make_route("b", "s", targets=(Target("s", 90.0), Target("t", 10.0))),
        label=7,
    )
    text = route_document.dump(document)
    assert route_document.load(text) == document
    truncated = route_document.load(text[: len(text) // 2])
    assert isinstance(truncated, route_document.RouteDocumentError)


def make_large_document():
    names = [f"route-{number}" for number in range(3000)]
    document = make_document(*(make_route(name, "s") for name in names))
    return document._replace(label=7, source="source text " * 9000)


def test_large_document_is_compressed_and_loads_equal():
    document = make_large_document()
    text = route_document.dump(document)
    assert packed_document.is_packed(text)
    assert route_document.load(text) == document
    assert route_document.load_label(text) == 7


def test_many_routes_are_stored_in_a_fraction_of_their_text():
    """Guards against a log and versions that grow with a few hundred routes."""
    routes = [
        make_route(f"r-{number:06x}", "s", prefix=f"/p{number:06x}/")
        for number in range(358)
    ]
    source = "".join(repr(route) for route in routes)
    document = make_document(*routes)._replace(source=source)
    text = route_document.dump(document)
    assert len(text) < len(source) / 4
    assert route_document.load(text) == document


def test_routes_are_encoded_in_steps():
    """Guards against heartbeats that wait for thousands of routes."""
    routes = [make_route(f"r-{number}", "s") for number in range(5000)]
    encoding = route_document.dump_in_steps(make_document(*routes))
    lines_steps = len(routes) // route_document.LINES_PER_STEP
    assert sum(1 for _ in encoding) >= lines_steps


def test_damaged_compressed_document_is_an_error():
    """Guards against a part of a configuration that takes effect."""
    text = route_document.dump(make_large_document())
    damaged = [text[: len(text) // 2], text[:-8], text + ":", "zlib:7:AAAA:"]
    damaged.append(text.replace("zlib:7:", "zlib:7:####"))
    for other in damaged:
        loaded = route_document.load(other)
        assert isinstance(loaded, route_document.RouteDocumentError)


def test_compressed_section_is_bounded_when_it_is_read():
    """Guards against a small text that takes all memory."""
    size = packed_document.MAXIMUM_SECTION_BYTES + 1
    text = steps.finish(packed_document.pack_in_steps(1, "x" * size, "{}"))
    assert len(text) < 100_000
    head = steps.finish(route_document.load_head_in_steps(text))
    assert isinstance(head, route_document.RouteDocumentError)


def test_text_of_an_earlier_version_is_read_whatever_its_size():
    """Guards against logs and snapshots that an update cannot read."""
    document = make_large_document()
    small = route_document.dump(document._replace(source="", routes=()))
    first, rest = small.split("\n", 1)
    one_route = document._replace(source="", routes=document.routes[:1])
    route = route_document.dump(one_route)
    line = next(x for x in route.splitlines() if x.startswith('{"route"'))
    text = f"{first}\n{rest}" + f"{line}\n" * 5000
    loaded = route_document.load(text)
    assert len(loaded.routes) == 5000
    assert route_document.load_label(text) == 7


@pytest.mark.parametrize(
    ("routes", "label"),
    [
        ([make_route("a", "s")], 3),
        ([make_route("a", "s")], 2),
        ([make_route("a", "s"), make_route("b", "s", prefix="/a/")], 4),
        ([make_route("a", "s", targets=(Target("s", 0.0),))], 4),
        (
            [make_route("a", "s", targets=(Target("s", -1), Target("s", 2)))],
            4,
        ),
        ([make_route("a", "s", timeout_s=601.0)], 4),
        ([make_route("a", "s", prefix="a/")], 4),
    ],
    ids=[
        "same label",
        "older label",
        "duplicate host and prefix",
        "weights sum to 0",
        "weight below 0",
        "timeout above the maximum",
        "prefix without leading slash",
    ],
)
def test_invalid_document_is_rejected(routes, label):
    document = make_document(*routes, label=label)
    assert document_check.check(document, 3) is not None


def test_target_of_unknown_service_is_rejected():
    document = make_document(make_route("a", "s"), label=4)
    assert document_check.check(document, 3) is None
    assert document_check.check(document._replace(services=()), 3) is not None


def test_each_run_of_twenty_requests_is_split_by_weight():
    chooser = split_chooser.SplitChooser()
    route = make_route("a", "s", targets=(Target("s", 90), Target("t", 10)))
    for _ in range(5):
        counts = collections.Counter(chooser.choose(route) for _ in range(20))
        assert counts == {"s": 18, "t": 2}


def test_changed_weights_apply_to_the_next_request():
    chooser = split_chooser.SplitChooser()
    chooser.choose(
        make_route("a", "s", targets=(Target("s", 90), Target("t", 10)))
    )
    route = make_route("a", "s", targets=(Target("s", 0), Target("t", 10)))
    assert {chooser.choose(route) for _ in range(10)} == {"t"}


# Guards against requests that are answered 404 because of the case of a host.
@pytest.mark.parametrize("configured", ["a.example", "A.Example"])
@pytest.mark.parametrize("asked", ["a.example", "A.EXAMPLE", "a.Example:80"])
def test_case_of_a_host_is_ignored(configured, asked):
    route = make_route("a", "s", host=configured)
    table = route_table.RouteTable(make_document(route))
    assert table.find(asked, "/a/x") == route


def test_host_with_a_port_is_found_before_the_one_without():
    with_port = make_route("a", "s", host="a.example:80")
    without = make_route("a", "s", host="a.example")
    table = route_table.RouteTable(make_document(with_port, without))
    assert table.find("A.example:80", "/a/x") == with_port
    assert table.find("a.example:81", "/a/x") == without


# Guards against two routes of one host, of which nodes would use the last.
def test_hosts_that_differ_only_in_case_are_duplicates():
    document = make_document(
        make_route("a", "s", host="a.example"),
        make_route("b", "s", host="A.example", prefix="/a/"),
    )
    assert document_check.check(document, 0) is not None


# Guards against a service with two limits, of which nodes would use the last.
def test_service_that_is_named_twice_is_rejected():
    document = make_document(make_route("a", "s"))
    twice = document._replace(services=document.services * 2)
    assert document_check.check(twice, 0) is not None


# Guards against splits that start anew because two routes have one name.
def test_routes_of_one_name_are_split_apart():
    chooser = split_chooser.SplitChooser()
    targets = (Target("s", 50), Target("t", 50))
    first = make_route("a", "s", targets=targets)
    second = make_route("a", "s", prefix="/b/", targets=targets[::-1])
    counts = collections.Counter()
    for _ in range(20):
        counts[chooser.choose(first)] += 1
        chooser.choose(second)
    assert counts == {"s": 10, "t": 10}


def test_many_routes_are_checked_and_stored_in_steps():
    document = make_large_document()._replace(source="")
    for computation in (
        document_check.check_in_steps(document, 0),
        route_document.dump_in_steps(document),
    ):
        assert sum(1 for _ in computation) >= 5
