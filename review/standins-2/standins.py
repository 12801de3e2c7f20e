"""Stand-ins for the users' platform, for scripts: the store, runners of plain services, clients, and node processes.

All addresses are loopback addresses. The stand-ins speak what the users' pages say and nothing else. A script makes one
`Deployment`, which chooses a free block of addresses and a temporary folder, and ends all processes that were started.
"""
import asyncio
import base64
import itertools
import json
import logging
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

HOST = "users.example"
CALLER_PORT, READY_PORT, ADMIN_PORT, ENTRY_PORT, METRICS_PORT = 8144, 8140, 8146, 8143, 9464
STORE_PORT, RUNNER_PORT = 8142, 8080


# Connections that are open at the end of a run are not worth a message.
logging.getLogger("asyncio").setLevel(logging.CRITICAL)


def now():
    return time.monotonic()


async def read_head(reader):
    """Returns the first line of a message and its headers."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    return lines[0], headers


def find(headers, name):
    for key, value in headers:
        if key.lower() == name.lower():
            return value
    return None


async def read_body(reader, headers):
    if (find(headers, "Transfer-Encoding") or "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return b"".join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    length = int(find(headers, "Content-Length") or 0)
    return await reader.readexactly(length) if length else b""


def encode_response(status, body=b"", headers=()):
    head = f"HTTP/1.1 {status} Status\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers)
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def encode_request(method, target, headers, body=b""):
    head = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers)
    if body or method != "GET":
        head += f"Content-Length: {len(body)}\r\n"
    return (head + "\r\n").encode() + body


async def call(ip, port, method, target, headers=(), body=b"", timeout=5):
    """Makes one call on a new connection. Returns its status, headers and body; raises if it gets no whole answer."""
    async def run():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(encode_request(method, target, [("Host", ip), *headers], body))
            await writer.drain()
            line, answer = await read_head(reader)
            return int(line.split(" ")[1]), answer, await read_body(reader, answer)
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout)


class Record:
    """Writes lines with the time since the start of the script."""

    def __init__(self, path, started=None):
        self.started = started or now()
        self.file = open(path, "a", buffering=1)

    def write(self, *words):
        self.file.write(f"{now() - self.started:9.3f} " + " ".join(str(word) for word in words) + "\n")


class Store:
    """The platform's store: topics of one partition. Calls take effect at once and in order."""

    def __init__(self):
        self.topics = {}
        self.mode = "up"  # or silent: it takes calls and does not answer
        self.changed = asyncio.Event()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, STORE_PORT)

    def topic(self, name):
        return self.topics.setdefault(name, {"records": [], "newest": {}})

    def append(self, name, record):
        topic = self.topic(name)
        offset = len(topic["records"])
        topic["records"].append(record)
        if name.startswith("keyed."):
            size = record[0]
            key, value = record[1:1 + size].decode(), record[1 + size:]
            if value:
                topic["newest"][key] = (offset, value)
            else:
                topic["newest"].pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def put(self, name, key, value):
        """Writes a record as the operator or a runner does; an empty value removes the key."""
        return self.append(name, bytes([len(key)]) + key.encode() + value)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                _, target, _ = line.split(" ")
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                writer.write(await self.answer(target, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, target, body):
        path, _, query = target.partition("?")
        args = dict(item.split("=", 1) for item in query.split("&") if "=" in item)
        name = args.get("topic", "")
        topic = self.topic(name)
        end = len(topic["records"])
        if path == "/log-append":
            if "at" in args and int(args["at"]) != end:
                return encode_response(412, json.dumps({"endOffset": end}).encode())
            while body:
                size = struct.unpack(">I", body[:4])[0]
                self.append(name, body[4:4 + size])
                body = body[4 + size:]
            return encode_response(200, json.dumps({"offset": end, "endOffset": len(topic["records"])}).encode())
        if path == "/log-read":
            start = int(args["from"])
            until = now() + int(args.get("waitMs", 0)) / 1000
            while len(topic["records"]) <= start and now() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - now())
                except asyncio.TimeoutError:
                    pass
            out = struct.pack(">QQ", len(topic["records"]), 0)
            for record in topic["records"][start:start + 1024]:
                out += struct.pack(">I", len(record)) + record
            return encode_response(200, out)
        if path == "/log-newest":
            keys = sorted(key for key in topic["newest"] if key > args.get("after", ""))
            items = [{"key": key, "value": base64.b64encode(topic["newest"][key][1]).decode(),
                      "offset": topic["newest"][key][0]} for key in keys[:500]]
            return encode_response(200, json.dumps({"items": items, "hasMore": len(keys) > 500,
                                                    "endOffset": end}).encode())
        return encode_response(404)


class Proxy:
    """Passes connections on to the store. While it is cut, no byte passes in either direction and no connection is made;
    connections that were open then stay silent for good, as after a partition that has outlasted them."""

    def __init__(self, ip, store_ip):
        self.ip, self.store_ip = ip, store_ip
        self.is_cut = False
        self.cuts = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, STORE_PORT)

    def cut(self):
        self.is_cut = True
        self.cuts += 1

    def heal(self):
        self.is_cut = False

    async def serve(self, reader, writer):
        if self.is_cut:
            return await asyncio.sleep(3600)
        made_at = self.cuts
        try:
            store_reader, store_writer = await asyncio.open_connection(self.store_ip, STORE_PORT)
        except OSError:
            return writer.close()

        async def copy(source, target):
            try:
                while data := await source.read(65536):
                    if self.cuts != made_at:
                        await asyncio.sleep(3600)
                    target.write(data)
                    await target.drain()
            except (OSError, asyncio.CancelledError):
                pass
            finally:
                target.close()

        await asyncio.gather(copy(reader, store_writer), copy(store_reader, writer))


class Runner:
    """A runner of a plain service. It runs each request once and echoes its id; `on_run` is called with the id."""

    def __init__(self, service, ip, store_ip, slots=6, zone="a", work_s=0.015, on_run=lambda attempt: None):
        self.service, self.ip, self.store_ip = service, ip, store_ip
        self.slots, self.zone, self.work_s, self.on_run = slots, zone, work_s, on_run
        self.id = "i-" + "".join(random.choice("0123456789abcdef") for _ in range(10))

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, RUNNER_PORT, limit=8 << 20, backlog=512)
        entry = json.dumps({"service": self.service, "addr": f"{self.ip}:{RUNNER_PORT}", "zone": self.zone,
                            "version": "v1", "slots": self.slots, "state": "ready", "coldRemainingMs": 0,
                            "seq": 1}).encode()
        record = bytes([len(self.id)]) + self.id.encode() + entry
        await call(self.store_ip, STORE_PORT, "POST", "/log-append?topic=keyed.servers&part=0",
                   body=struct.pack(">I", len(record)) + record)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                attempt = find(headers, "Tamarackrelay-Attempt-Id") or ""
                echo = ("Tamarackrelay-Attempt-Id", attempt)
                if find(headers, "Tamarackrelay-Expect-Instance") not in (None, self.id):
                    writer.write(encode_response(421, b"", [echo, ("Tamarackrelay-Not-Executed", "1")]))
                    continue
                self.on_run(attempt)
                await asyncio.sleep(self.work_s)
                writer.write(encode_response(200, f"{self.id} ran {attempt}".encode(),
                                             [echo, ("Tamarackrelay-Server-Seal", f"{self.id}.{attempt}"),
                                              ("Tamarackrelay-Instance-Load", f"1,0,{self.slots}")]))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()


def route(name, prefix, kind, service, **more):
    return {"name": name, "hostname": HOST, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": 800,
            "targetLatencyMs": 100, "priority": 2, "service": service, "maxAttempts": 1, **more}


def configuration(version, routes, services):
    return json.dumps({"version": version, "routes": routes, "services": services,
                       "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                                  "idleTimeoutMs": 15000}}).encode()


_ids = itertools.count(1)


def attempt_id():
    return f"{os.getpid():07x}{next(_ids):09x}"


class Node:
    """A process of the project, as the deploy file starts it, on a loopback address of its own."""

    def __init__(self, deployment, name, ip, zone, seeds, store_ip=None):
        self.deployment, self.name, self.ip = deployment, name, ip
        self.process = None
        self.settings = {
            "node": name, "role": "node", "machineClass": "edge", "serves": ["edge", "registry", "control"],
            "ip": ip, "zone": zone, "region": "r", "zones": {"a": "r", "b": "r", "c": "r"},
            "listen": {"frontend": f"{ip}:{CALLER_PORT}", "ready": f"{ip}:{READY_PORT}",
                       "controlPlane": f"{ip}:{ADMIN_PORT}", "registry": f"{ip}:{ENTRY_PORT}"},
            "internalPorts": [7660, 7675], "seeds": seeds, "bootstrap": True, "countsAsLoss": False,
            "limits": {"cpuQuota": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "registry", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine",
                          "platform"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
                       "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configDeadlineMs": 2000,
                       "rollbackSlackMs": 250, "maxSkewMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
                       "retrySlack": 58, "recoverS": 12, "transitMs": 120, "retryAfterS": 8.1,
                       "fencingEnforced": False, "leaseMs": 3000, "thawMs": 300, "ttl_max_s": 5},
            "platform": {"addr": f"{store_ip or deployment.store_ip}:{STORE_PORT}", "form": "log", "writesPerS": 400,
                         "readsPerS": 2000, "parts": 8, "appendMs": 4.0, "ingressPerS": 20.0, "egressPerS": 80.0,
                         "recordBytes": 262144, "callBytes": 2097152, "keep_s": 20, "partMb": 200, "ttlMinMs": 1000}}

    def start(self):
        path = os.path.join(self.deployment.folder, self.name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings, file)
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.deployment.folder, "LANG": "C",
                       "TAMARACKRELAY_NODE_FILE": path}
        with open(os.path.join(self.deployment.folder, self.name + ".log"), "ab") as log:
            self.process = self.deployment.launch(self.deployment.command, env=environment, stdout=log, stderr=log,
                                                  cwd=self.deployment.root)
        self.settings["bootstrap"] = False

    async def is_ready(self, timeout=15):
        end = now() + timeout
        while now() < end:
            try:
                if (await call(self.ip, READY_PORT, "GET", "/readyz", timeout=1))[0] == 200:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        return False

    def memory_kib(self):
        """Anonymous memory of the process, so without the pages of shared libraries; 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("RssAnon:"):
                        return int(line.split()[1])
        except OSError:
            pass
        return 0


class Deployment:
    """Addresses, a temporary folder and the processes of one run."""

    def __init__(self):
        self.root = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.block = self.free_block()
        self.store_ip = f"{self.block}.0.1"
        with open(os.path.join(self.root, "deploy", "system.toml")) as file:
            words = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1).split(" ")
        self.command = [os.path.join(self.root, words[0]), *words[1:]]
        self.processes = []

    @staticmethod
    def free_block():
        """The first two octets of addresses on which no listener is seen."""
        for _ in range(100):
            block = f"127.{random.randint(70, 250)}"
            try:
                for address in (f"{block}.0.1", f"{block}.2.1"):
                    for port in (STORE_PORT, CALLER_PORT, METRICS_PORT):
                        with socket.socket() as probe:
                            probe.bind((address, port))
                return block
            except OSError:
                continue
        raise RuntimeError("no free loopback addresses")

    def launch(self, command, **options):
        process = subprocess.Popen(command, **options)
        self.processes.append(process)
        return process

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def leave(main):
    """Runs the script and exits with its code, or with 2 if it could not run to its end. The connections that are still open
    are not ended one by one."""
    try:
        code = main()
    except BaseException as fault:  # noqa: BLE001
        print("the case could not run:", repr(fault))
        code = 2
    sys.stdout.flush()
    os._exit(code)
