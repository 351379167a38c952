"""Digest by which a request is recognised when it comes again.

Guards against a request that is taken for another one because its id, the
instance where it began or the framing of its body differ, and against secrets
of targets and bodies in log lines.
"""

import structlog

from tests.gateway import mesh as mesh_module


def collect_digests(*requests):
    """Returns the digests that the node beside the backend server logs."""
    mesh = mesh_module.Mesh("front", "deep")
    mesh.configure(mesh_module.make_route("read", "deep", attempts=1))
    backend = mesh.members[1].backend
    backend.answer = lambda call: call.abort()
    with structlog.testing.capture_logs() as lines:
        for index, data in requests:
            client = mesh.connect(index)
            client.send(data)
            mesh.network.run(0.2)
    assert "secret" not in str(lines)
    return [
        line["digest"]
        for line in lines
        if line["event"] == "backend-answer-lost"
    ]


def encode(request_id, path="/read/x?token=secret", **request):
    headers = [("Request-Id", request_id)]
    return mesh_module.encode(path, headers=headers, **request)


def test_same_request_at_any_node_has_the_same_digest():
    body = b"secret"
    chunked = encode("r2", method="POST").removesuffix(b"\r\n")
    chunked += b"Transfer-Encoding: chunked\r\n\r\n"
    chunked += b"3\r\nsec\r\n3\r\nret\r\n0\r\n\r\n"
    digests = collect_digests(
        (0, encode("r1", method="POST", body=body)), (1, chunked)
    )
    assert len(digests) == 2
    assert len(set(digests)) == 1


def test_requests_that_differ_have_other_digests():
    digests = collect_digests(
        (0, encode("r1")),
        (0, encode("r1", path="/read/x?token=secret2")),
        (0, encode("r1", method="POST")),
        (0, encode("r1", method="POST", body=b"secret")),
    )
    assert len(set(digests)) == 4


def test_body_that_is_streamed_is_known_by_its_beginning():
    body = b"secret" * (1 << 18)
    digests = collect_digests(
        (0, encode("r1", method="POST", body=body)),
        (1, encode("r2", method="POST", body=body)),
        (0, encode("r3", method="POST", body=b"x" + body)),
    )
    assert len(digests) == 3
    assert len(set(digests)) == 2
