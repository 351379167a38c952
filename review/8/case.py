"""Uploads in short chunks during a burst; see claim.txt."""

import asyncio
import os
import pathlib
import secrets
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common2 import lab as lab_module  # noqa: E402

BODY_BYTES = 180_000
CHUNK_BYTES = 8
# Uploads a second, times the seconds that a single one takes here.
USUAL_RATIO = 1.0
SINGLE_UPLOADS = 7
BURST = 1.8
BURST_S = 20.0
BEFORE_S = 6.0
TIMEOUT_S = 2.0
DEADLINE_S = 3.0
LATE_S = 0.5
MINIMUM = 8
_LINE = secrets.token_hex(CHUNK_BYTES // 2).encode()
BODY = (b"%x\r\n%b\r\n" % (CHUNK_BYTES, _LINE)) * (
    BODY_BYTES // CHUNK_BYTES
) + b"0\r\n\r\n"


async def work(endpoint, method, path, headers, reader, writer):
    await lab_module.read_body(reader, headers)
    await asyncio.sleep(0.05)
    await endpoint.answer(writer, headers["request-id"], b"stored")
    return True


async def upload(lab, node, record, results):
    """Sends one upload; the client leaves at its deadline."""
    request_id = secrets.token_hex(8)
    began_s = time.monotonic()
    status = 0
    writer = None

    async def run():
        nonlocal writer
        reader, writer = await asyncio.open_connection(
            node.ip, lab.outbound_port
        )
        writer.write(
            f"POST /u/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}"
            f"\r\nDeadline-Ms: {DEADLINE_S * 1000:.0f}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
            + BODY
        )
        line, _ = await lab_module.read_head(reader)
        return int(line.split()[1])

    try:
        status = await asyncio.wait_for(run(), DEADLINE_S)
    except (OSError, EOFError, asyncio.TimeoutError):
        pass
    taken_s = time.monotonic() - began_s
    if writer is not None:
        writer.transport.abort()
    record.note(
        f"client got {status or 'no answer'} to {request_id}"
        f" after {taken_s:.2f} s"
    )
    results.append((status, taken_s))


def read_cpu_s(process):
    """Returns the processor time that a process has used, seconds."""
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


async def play(lab, disturbed, record):
    lab.add_control()
    entry = lab.add_node("s1")
    other = lab.add_node("dossier")
    for node in (entry, other):
        node.start()
        await lab_module.Endpoint(lab, node, slots=97, work=work).start()
    await lab.put_configuration(
        lab_module.configuration(
            3,
            [("/u/", "upload", f"{TIMEOUT_S:.0f}s", 2, "dossier")],
            ["s1", "dossier"],
        )
    )
    await lab.wait_ready()
    await asyncio.sleep(lab_module.STABLE_S)
    results = []
    uploads = []

    async def send(rate, for_s):
        ends_s = time.monotonic() + for_s
        while time.monotonic() < ends_s:
            uploads.append(
                asyncio.create_task(upload(lab, entry, record, results))
            )
            await asyncio.sleep(1 / rate)

    for _ in range(SINGLE_UPLOADS):
        await upload(lab, entry, record, results)
    single_s = min(taken_s for _, taken_s in results)
    usual_s = USUAL_RATIO / single_s
    record.note(f"one takes {single_s:.3f} s; usually {usual_s:.1f} a second")
    await send(usual_s, BEFORE_S)
    cpu_s = read_cpu_s(entry.process)
    if disturbed:
        record.note(f"burst: {BURST} times the uploads for {BURST_S} s")
    await send(usual_s * (BURST if disturbed else 1.0), BURST_S)
    used = (read_cpu_s(entry.process) - cpu_s) / BURST_S
    await asyncio.gather(*uploads)
    at_timeout = [item for item in results if item[1] > TIMEOUT_S]
    unanswered = [
        item
        for item in at_timeout
        if not item[0] or item[1] > TIMEOUT_S + LATE_S
    ]
    never = sum(not status for status, _ in results)
    record.note(
        f"{len(results)} uploads, {len(at_timeout)} unanswered at the timeout,"
        f" {len(unanswered)} {LATE_S} s later, {never} never;"
        f" the node used {used:.0%} of a core"
    )
    print(len(results), len(at_timeout), len(unanswered), never, f"{used:.0%}")
    if len(unanswered) < MINIMUM or 2 * len(unanswered) <= len(at_timeout):
        return []
    return [
        f"of {len(at_timeout)} unanswered at the timeout {len(unanswered)} had"
        f" no answer {LATE_S} s later"
    ]


if __name__ == "__main__":
    # Without the disruption if TROUBLE is 0.
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    lab_module.run_case(__file__, play, is_disturbed)
