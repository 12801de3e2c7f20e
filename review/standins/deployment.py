"""A small deployment on loopback: the real node program, with stand-ins for the store and the runners.

Every process is started here and ended here by its process id.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

import wire

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
PROGRAM = ["target/bin/tamarackrelay", "--platform"]  # the line `run` of deploy/system.toml
HEARTBEAT_MS = 1200
HOST = "caller.example"


class CannotRun(Exception):
    pass


def free_block():
    """A block of loopback addresses, reserved by a socket that stays open for as long as this process runs."""
    for _ in range(200):
        block = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        holder = socket.socket()
        try:
            holder.bind((block + ".254", 9999))
            holder.listen(1)
            return block, holder
        except OSError:
            holder.close()
    raise CannotRun("no block of loopback addresses is free")


def route(name, kind, service, **more):
    out = {
        "name": name, "hostname": HOST, "pathPrefix": "/%s/" % name, "routeKind": kind, "service": service,
        "timeoutMs": 6000, "targetLatencyMs": 1000, "maxAttempts": 2 if kind == "idempotent" else 1, "priority": 1,
    }
    out.update(more)
    return out


class Deployment:
    def __init__(self, record, nodes, memory_mb=260):
        self.record = record
        self.block, self.holder = free_block()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = ("%s.200" % self.block, 8142)
        self.node_ips = {"node-%d" % i: "%s.%d" % (self.block, i) for i in range(1, nodes + 1)}
        self.memory_mb = memory_mb
        self.processes = {}
        self.version = 0
        self.runner_count = 0

    def note(self, text):
        print("%.3f %s" % (time.time(), text), file=self.record, flush=True)

    def launch(self, name, command, environment=None, cwd=ROOT):
        out = open(os.path.join(self.folder, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(command, cwd=cwd, env=environment, stdout=out, stderr=out)

    def start_store(self):
        self.launch("store", [sys.executable, "-B", HERE + "/store.py", self.store[0], str(self.store[1]), str(HEARTBEAT_MS)])

    def start_runner(self, service, slots, work_ms):
        self.runner_count += 1
        name = "%s-%d" % (service, self.runner_count)
        address = "%s.%d" % (self.block, 100 + self.runner_count)
        self.launch(name, [
            sys.executable, "-B", HERE + "/runner.py", address, "8080", "%s:%d" % self.store, "i-" + name, service,
            str(slots), str(work_ms), str(HEARTBEAT_MS), os.path.join(self.folder, name + ".runs"),
        ])
        return name

    def start_node(self, name):
        ip = self.node_ips[name]
        settings = {
            "node": name, "role": "node", "machineClass": "edge", "serves": ["edge", "registry", "control"], "ip": ip,
            "zone": "a", "region": "r", "zones": {"a": "r"},
            "listen": {"frontend": ip + ":8144", "ready": ip + ":8140", "controlPlane": ip + ":8146", "registry": ip + ":8143"},
            "internalPorts": [7660, 7675], "seeds": [a + ":8146" for a in list(self.node_ips.values())[:3]],
            "bootstrap": True, "countsAsLoss": False,
            "limits": {"cpuQuota": 0.25, "cores": 1, "memoryMb": self.memory_mb, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "registry", "heartbeatMs": HEARTBEAT_MS,
            "bounds": {
                "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
                "graceS": 8, "lossSlackMs": 200, "configDeadlineMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000,
                "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 52, "recoverS": 12, "transitMs": 120,
                "retryAfterS": 9.5, "fencingEnforced": False, "leaseMs": 3000, "thawMs": 300, "ttl_max_s": 5,
            },
            "platform": {"addr": "%s:%d" % self.store, "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 8},
        }
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        environment = {"PATH": os.environ["PATH"], "HOME": self.folder, "LANG": "C.UTF-8", "TAMARACKRELAY_NODE_FILE": path}
        self.launch(name, PROGRAM, environment)

    def frontend(self, node):
        return self.node_ips[node], 8144

    async def call(self, address, method, target, body=b""):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % (method, target, len(body))).encode() + body)
        answer = await asyncio.wait_for(wire.read_answer(reader), 5)
        writer.close()
        return answer

    async def publish(self, routes, services):
        self.version += 3
        text = json.dumps({
            "version": self.version, "routes": routes,
            "services": [{"name": name, "healthPath": "/healthz", "maxConns": 360} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        }).encode()
        content = b"\x06config" + text
        answer = await self.call(self.store, "POST", "/log-append?topic=keyed.op&part=0", struct.pack(">I", len(content)) + content)
        self.note("operator: version %d acknowledged with %d" % (self.version, answer.status))

    async def wait_for(self, what, check, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                if await check():
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(what + " does not come")

    async def wait_until_ready(self):
        for name, ip in self.node_ips.items():
            async def ready():
                answer = await self.call((ip, 8140), "GET", "/readyz")
                return answer is not None and answer.status == 200
            await self.wait_for("readiness of " + name, ready)

    def has_ended(self, name):
        return self.processes[name].poll() is not None

    def resident_mb(self, name):
        try:
            with open("/proc/%d/status" % self.processes[name].pid) as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) * 1024 / 1e6
        except OSError:
            pass
        return 0.0

    def runs(self):
        """Attempt ids by number of runs."""
        out = {}
        for name in os.listdir(self.folder):
            if name.endswith(".runs"):
                with open(os.path.join(self.folder, name)) as file:
                    for line in file:
                        attempt = line.split()[1]
                        out[attempt] = out.get(attempt, 0) + 1
        return out

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()
        self.holder.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, folder):
    """Runs `case(record, with_trouble)`, which returns whether the rule was broken, and exits as the issue asks."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    with open(os.path.join(folder, "record.txt"), "w") as record:
        try:
            is_broken = asyncio.run(asyncio.wait_for(case(record, with_trouble), 110))
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            print("cannot run: %r" % error, file=record)
            sys.exit(2)
        print("result: %s" % ("broken" if is_broken else "held"), file=record)
    sys.exit(1 if is_broken else 0)
