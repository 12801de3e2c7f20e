"""Stand-in for a runner of a plain service (no phase), as PROTOCOL.md describes it.

Usage: runner.py ADDRESS PORT STORE ID SERVICE SLOTS WORK_MS HEARTBEAT_MS RUN_LOG
Registers in the store, runs at most SLOTS requests at once, queues a few more, and writes a line for each run.
"""
import asyncio
import json
import struct
import sys
import time

import wire

ADDRESS, PORT, STORE, ID, SERVICE = sys.argv[1:6]
SLOTS, WORK, HEARTBEAT = int(sys.argv[6]), int(sys.argv[7]) / 1000, int(sys.argv[8]) / 1000
RUN_LOG = open(sys.argv[9], "a", buffering=1)
QUEUE = 4
BODY = b"x" * 800
STATE = {"running": 0, "waiting": 0}
FREE = asyncio.Semaphore(SLOTS)


async def beat():
    sequence = 0
    host, port = STORE.split(":")
    while True:
        sequence += 1
        entry = {
            "service": SERVICE, "addr": "%s:%s" % (ADDRESS, PORT), "zone": "a", "version": "v1", "slots": SLOTS,
            "state": "ready", "coldRemainingMs": 0, "seq": sequence,
        }
        content = bytes([len(ID)]) + ID.encode() + json.dumps(entry).encode()
        body = struct.pack(">I", len(content)) + content
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            head = "POST /log-append?topic=keyed.servers&part=0 HTTP/1.1\r\nHost: s\r\nContent-Length: %d\r\n\r\n"
            writer.write((head % len(body)).encode() + body)
            await wire.read_answer(reader)
            writer.close()
        except OSError:
            pass
        await asyncio.sleep(HEARTBEAT)


def load():
    return "%d,%d,%d" % (STATE["running"], STATE["waiting"], SLOTS)


async def run(request):
    attempt = request.headers.get("tamarackrelay-attempt-id")
    echo = [("Tamarackrelay-Instance-Id", ID)]
    if request.headers.get("tamarackrelay-expect-instance", ID) != ID:
        return wire.reply(421, b"", echo)
    if request.target == "/healthz":
        return wire.reply(200, b"", echo + [("Tamarackrelay-Instance-Load", load())])
    if not attempt:
        return wire.reply(400, b"", [("Tamarackrelay-Not-Executed", "1")])
    echo.append(("Tamarackrelay-Attempt-Id", attempt))
    if STATE["waiting"] >= QUEUE:
        return wire.reply(503, b"", echo + [("Tamarackrelay-Not-Executed", "1")])
    STATE["waiting"] += 1
    async with FREE:
        STATE["waiting"] -= 1
        STATE["running"] += 1
        RUN_LOG.write("%.3f %s %s %s %d\n" % (time.time(), attempt, request.method, ascii(request.target), len(request.body)))
        await asyncio.sleep(WORK)
        STATE["running"] -= 1
    seal = "%s.%s" % (ID, attempt)
    return wire.reply(200, BODY, echo + [("Tamarackrelay-Server-Seal", seal), ("Tamarackrelay-Instance-Load", load())])


async def serve(reader, writer):
    try:
        while (request := await wire.read_request(reader)) is not None:
            writer.write(await run(request))
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        pass
    writer.close()


async def main():
    server = await asyncio.start_server(serve, ADDRESS, int(PORT), limit=2**20)
    asyncio.create_task(beat())
    async with server:
        await server.serve_forever()


asyncio.run(main())
