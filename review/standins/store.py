"""Stand-in for the platform's store: a log with keyed topics, as PROTOCOL.md describes it.

Usage: store.py ADDRESS PORT HEARTBEAT_MS
Entries of keyed.servers expire three heartbeat intervals after their last write.
"""
import asyncio
import base64
import json
import struct
import sys
import time
import urllib.parse

import wire

TOPICS = {}
CHANGED = asyncio.Event()


class Topic:
    def __init__(self, name):
        self.keyed = name.startswith("keyed.")
        self.records = []
        self.newest = {}
        self.written_at = {}

    def add(self, content):
        if self.keyed:
            size = content[0]
            key = content[1 : 1 + size]
            value = content[1 + size :]
            if value:
                self.newest[key] = (len(self.records), value)
            else:
                self.newest.pop(key, None)
            self.written_at[key] = time.monotonic()
        self.records.append(content)


def topic(name):
    if name not in TOPICS:
        TOPICS[name] = Topic(name)
    return TOPICS[name]


def announce():
    global CHANGED
    CHANGED.set()
    CHANGED = asyncio.Event()


def append(query, body):
    target = topic(query["topic"])
    end = len(target.records)
    if "at" in query and int(query["at"]) != end:
        return 412, {"endOffset": end}
    contents = []
    while body:
        (size,) = struct.unpack(">I", body[:4])
        contents.append(body[4 : 4 + size])
        body = body[4 + size :]
    for content in contents:
        target.add(content)
    announce()
    return 200, {"offset": end, "endOffset": len(target.records)}


async def read(query):
    target = topic(query["topic"])
    start = int(query["from"])
    until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
    while start >= len(target.records) and time.monotonic() < until:
        try:
            await asyncio.wait_for(CHANGED.wait(), until - time.monotonic())
        except asyncio.TimeoutError:
            break
    out = [struct.pack(">QQ", len(target.records), 0)]
    for content in target.records[start:]:
        out.append(struct.pack(">I", len(content)) + content)
    return b"".join(out)


def newest(query):
    target = topic(query["topic"])
    items = [
        {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
        for key, (offset, value) in sorted(target.newest.items())
    ]
    return {"items": items, "hasMore": False, "endOffset": len(target.records)}


async def handle(request):
    path, _, text = request.target.partition("?")
    query = dict(urllib.parse.parse_qsl(text))
    await asyncio.sleep(0.004)
    if path == "/log-append":
        status, body = append(query, request.body)
        return wire.reply(status, json.dumps(body).encode())
    if path == "/log-read":
        return wire.reply(200, await read(query))
    if path == "/log-newest":
        return wire.reply(200, json.dumps(newest(query)).encode())
    return wire.reply(404, b"{}")


async def expire(heartbeat):
    while True:
        await asyncio.sleep(0.2)
        servers = topic("keyed.servers")
        late = time.monotonic() - 3 * heartbeat
        for key in [k for k in servers.newest if servers.written_at[k] < late]:
            servers.add(bytes([len(key)]) + key)
            announce()


async def main():
    address, port, heartbeat = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]) / 1000

    async def serve(reader, writer):
        try:
            while (request := await wire.read_request(reader)) is not None:
                writer.write(await handle(request))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()

    server = await asyncio.start_server(serve, address, port)
    asyncio.create_task(expire(heartbeat))
    async with server:
        await server.serve_forever()


asyncio.run(main())
