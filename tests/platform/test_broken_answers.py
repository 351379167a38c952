"""Broken answers of a backend server, through a node as a real process.

Guards against a client that gets such an answer, or a part of one, as the
complete answer to its request.
"""

import collections
from concurrent import futures
import contextlib
import functools
import random
import socket
import threading
import time
from typing import NamedTuple

import httptools
import pytest

from cranberrymux.demo import ports
from cranberrymux.demo import response_reader
from tests.fakes import resets
from tests.platform import faulty_backend
from tests.platform import fleet as fleet_module
from tests.soak import machine as machine_module

SERVICE = "s2"
VERSION = 3
UPLOADS = 400
CLIENTS = 4
UPLOAD_PART = b"u" * 16_384
UPLOAD_PARTS = 2500
TIMEOUT_S = 10.0
SEED = 55


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with fleet_module.Fleet(tmp_path_factory.mktemp("fleet"), 3) as fleet:
        fleet.put_until_accepted(VERSION, 0, service=SERVICE)
        yield fleet


@pytest.fixture(scope="module")
def free_ports():
    """Ports of the machine, the last one that of its backend server."""
    return ports.find_free_ports(5)


@pytest.fixture(scope="module")
def machine(fleet, free_ports, tmp_path_factory):
    """A machine whose node reaches its backend server without the proxy.

    The proxy would pass a reset on as a close.
    """
    machine = machine_module.Machine(
        tmp_path_factory.mktemp("machine"), fleet, 1, SERVICE, free_ports
    )
    proxied = f'"{machine.client_address[0]}:{free_ports[4]}"'
    direct = f'"{machine.ip}:{free_ports[4]}"'
    settings = machine.settings.read_text()
    machine.settings.write_text(settings.replace(proxied, direct))
    machine.node.start()
    try:
        yield machine
    finally:
        machine.close()


@pytest.fixture(scope="module")
def backend(machine, free_ports):
    backend = faulty_backend.FaultyBackend(
        (machine.ip, free_ports[4]),
        SERVICE,
        machine.zone,
        machine.announce_address,
        faulty_backend.answer_whole,
    )
    try:
        fleet_module.wait_until(lambda: is_served(machine))
        yield backend
    finally:
        backend.close()


def connect(machine):
    return socket.create_connection(machine.outbound_address, TIMEOUT_S)


def encode_request(method, *lines):
    all_lines = [
        f"{method} /a/x HTTP/1.1",
        "Host: h.example",
        f"Request-Id: n{time.monotonic_ns()}",
        "Deadline-Ms: 4000",
    ]
    return "\r\n".join([*all_lines, *lines]).encode() + b"\r\n\r\n"


def read_answer(connection):
    """Reads until the answer or the connection has ended."""
    reader = response_reader.ResponseReader()
    try:
        while not reader.is_whole:
            data = connection.recv(1 << 16)
            if not data:
                reader.end()
                break
            reader.feed(data)
    except (OSError, httptools.HttpParserError):
        pass
    return reader


def ask(machine, method):
    """Sends a request without a body on a new connection."""
    with connect(machine) as connection:
        connection.sendall(encode_request(method, "Connection: close"))
        return read_answer(connection)


def is_served(machine):
    """Returns whether a proper request is answered with 200."""
    try:
        return ask(machine, "GET").status == 200
    except OSError:
        return False  # The node does not listen yet.


def upload(machine, number):
    """Uploads until the answer has ended."""
    size = UPLOAD_PARTS * len(UPLOAD_PART)
    lines = [f"Content-Length: {size}", f"X-Number: {number}"]
    with connect(machine) as connection:
        connection.sendall(encode_request("POST", *lines))
        sending = threading.Thread(target=send_body, args=(connection,))
        sending.start()
        answer = read_answer(connection)
        with contextlib.suppress(OSError):  # The node may have closed it.
            connection.shutdown(socket.SHUT_RDWR)
        sending.join()
    return answer


def send_body(connection):
    try:
        for _ in range(UPLOAD_PARTS):
            connection.sendall(UPLOAD_PART)
    except OSError:
        return  # The answer has ended the upload.


def answer_early(request, break_off):
    """Answers within the upload, without a length, and breaks off."""
    generator = random.Random(f"{SEED} {request.headers['x-number']}")
    unread = generator.choice((1, 200_000)) - len(request.body)
    while unread > 0:
        received = len(request.connection.recv(unread))
        if not received:
            return  # The upload was broken off.
        unread -= received
    part = b"x" * generator.choice((10, 1000, 100_000, 300_000))
    request.connection.sendall(
        faulty_backend.encode_head(request.request_id) + part
    )
    time.sleep(generator.uniform(0.0, 0.01))
    break_off(request.connection)


@pytest.mark.parametrize(
    "break_off",
    [
        resets.reset,
        faulty_backend.close_unread,
        faulty_backend.end_output_and_reset,
    ],
)
def test_part_of_an_answer_that_is_reset_within_an_upload_is_not_whole(
    machine, backend, break_off
):
    backend.answer = functools.partial(answer_early, break_off=break_off)
    with futures.ThreadPoolExecutor(CLIENTS) as pool:
        answers = list(
            pool.map(functools.partial(upload, machine), range(UPLOADS))
        )
    backend.answer = faulty_backend.answer_whole
    outcomes = [(answer.status, answer.is_whole) for answer in answers]
    print(collections.Counter(outcomes))
    assert (200, False) in outcomes  # It reached the client.
    assert (200, True) not in outcomes
    fleet_module.wait_until(lambda: is_served(machine))


class OddHead(NamedTuple):
    """What is odd in the head of an answer.

    Attributes:
        status: Status and reason phrase.
        lines: Lines before that of the length.
    """

    status: str = "200 OK"
    lines: tuple[str, ...] = ()


def answer_with_odd_head(request, odd):
    """Answers with an odd head, and with a body unless asked by HEAD."""
    body = b"" if request.method == "HEAD" else b"not the whole"
    head = faulty_backend.encode_head(
        request.request_id,
        *odd.lines,
        f"Content-Length: {len(body) or 13}",
        status=odd.status,
    )
    request.connection.sendall(head + body)


@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
@pytest.mark.parametrize(
    "odd",
    [
        *[
            OddHead(status=f"{status} X")
            for status in ("000", "001", "099", "00", "0200", "20", "2000")
        ],
        *[
            OddHead(lines=(f"{name}: 4",))
            for name in (
                "X Y",
                "X ",
                "X\tY",
                "X\x00",
                "X\x01Y",
                "X\x7f",
                "X\x80",
                "Content Length",
                "Content-Length ",
                "Content-Length\x01",
                "Transfer-Encoding ",
                "Not-Run ",
            )
        ],
        OddHead(lines=(" X: 4",)),
    ],
    ids=repr,
)
def test_answer_with_an_odd_head_does_not_reach_the_client(
    machine, backend, method, odd
):
    """Nodes handled these before there was this test."""
    fleet_module.wait_until(lambda: is_served(machine))
    backend.answer = functools.partial(answer_with_odd_head, odd=odd)
    answer = ask(machine, method)
    backend.answer = faulty_backend.answer_whole
    assert answer.status == 502
    assert b"not the whole" not in answer.body


@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_answer_with_a_sound_head_reaches_the_client(machine, backend, method):
    fleet_module.wait_until(lambda: ask(machine, method).status == 200)
