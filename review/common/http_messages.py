"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
import typing


class Head(typing.NamedTuple):
    """First line and headers of a message; names are in lower case."""

    first: list[str]
    headers: dict[str, str]


class Answer(typing.NamedTuple):
    """A whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_head(reader):
    """Returns the head of the next message; raises IncompleteReadError."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    return Head(first.split(" ", 2), headers)


async def read_body(reader, headers):
    """Returns the whole body of a message with these headers."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    parts = []
    while size := int((await reader.readline()).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    while (await reader.readline()).strip():
        pass
    return b"".join(parts)


async def read_answer(reader):
    """Returns the next final answer of a connection."""
    while True:
        head = await read_head(reader)
        status = int(head.first[1])
        if status >= 200:
            break
    return Answer(status, head.headers, await read_body(reader, head.headers))


def encode(first_line, headers, body=b""):
    """Returns a message with the length of its body."""
    lines = [first_line]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def connect(address, **options):
    """Opens a connection to `IP:PORT` within one second."""
    host, _, port = address.partition(":")
    return await asyncio.wait_for(
        asyncio.open_connection(host, int(port), limit=1 << 20, **options), 1.0
    )


async def call(address, method, path, headers=None, body=b"", timeout_s=1.0):
    """Sends one request on a new connection; returns its answer.

    Raises:
        OSError, EOFError, TimeoutError: There is no whole answer in time.
    """
    reader, writer = await connect(address)
    try:
        fields = {"Host": address, "Connection": "close", **(headers or {})}
        writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))
        return await asyncio.wait_for(read_answer(reader), timeout_s)
    finally:
        writer.close()
