"""A planned stop of the node that callers are left with: requests that reach it late in its grace period."""
import asyncio
import json
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import deployment  # noqa: E402
import wire  # noqa: E402

GRACE_S = 8
WORK_MS = 2500
DEADLINE_MS = 6000
EXCUSED_S = 3  # RULES.md excuses requests that were sent no later than this after the SIGTERM


class Clients:
    """Resolve entry addresses as PROTOCOL.md says, keep an answer for three times its lifetime, and longer if they
    cannot obtain a new one."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.addresses, self.valid_until = [], 0.0
        self.idle = []  # kept connections: address, reader, writer
        self.failed = set()
        self.outcome = {}  # by attempt: sent at, whether it was written whole, what came

    async def resolve(self):
        for node, ip in self.fleet.node_ips.items():
            try:
                call = self.fleet.call((ip, 8143), "GET", "/resolve?name=%s&region=r&zone=a" % deployment.HOST)
                answer = await asyncio.wait_for(call, 1)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                answer = None
            if answer is not None and answer.status == 200 and json.loads(answer.body).get("addrs"):
                body = json.loads(answer.body)
                self.addresses = body["addrs"]
                self.valid_until = time.monotonic() + 3 * min(body["ttlS"], 5)
                self.failed.clear()
                self.idle = [item for item in self.idle if item[0] in self.addresses]
                return
        self.fleet.note("client: no node names an address; the old ones stay in use: %s" % self.addresses)
        self.valid_until = time.monotonic() + 1

    async def connect(self):
        if self.idle:
            return self.idle.pop()
        for address in [a for a in self.addresses if a not in self.failed]:
            host, port = address.split(":")
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
                return address, reader, writer
            except (OSError, asyncio.TimeoutError):
                self.failed.add(address)
        return None

    async def send(self, attempt):
        connection = await self.connect()
        if connection is None:
            self.fleet.note("client: %s: no connection" % attempt)
            return
        address, reader, writer = connection
        head = "POST /report/x HTTP/1.1\r\nHost: %s\r\nTamarackrelay-Attempt-Id: %s\r\nTamarackrelay-Deadline-Ms: %d\r\nContent-Length: 4\r\n\r\nbody"
        sent_at = time.time()
        try:
            writer.write((head % (deployment.HOST, attempt, DEADLINE_MS)).encode())
            answer = await asyncio.wait_for(wire.read_answer(reader), DEADLINE_MS / 1000)
            text = "answered %d" % answer.status if answer else "closed"
        except asyncio.TimeoutError:
            answer, text = None, "given up"
        except (OSError, asyncio.IncompleteReadError):
            answer, text = None, "closed"
        self.outcome[attempt] = (sent_at, address, text, time.time())
        self.fleet.note("client: %s sent to %s at %.3f: %s" % (attempt, address, sent_at, text))
        if answer and answer.headers.get("connection", "").lower() != "close":
            self.idle.append(connection)
        else:
            writer.close()

    async def run(self, until):
        tasks = []
        while time.monotonic() < until:
            if time.monotonic() >= self.valid_until:
                await self.resolve()
            tasks.append(asyncio.create_task(self.send("r-%d" % len(tasks))))
            await asyncio.sleep(0.25)
        await asyncio.gather(*tasks)


async def case(record, with_trouble):
    fleet = deployment.Deployment(record, nodes=2)
    try:
        fleet.start_store()
        await fleet.wait_for("the store", lambda: store_answers(fleet))
        await fleet.publish([deployment.route("report", "non_idempotent", "plain")], ["plain"])
        for _ in range(3):
            fleet.start_runner("plain", 6, WORK_MS)
        for node in fleet.node_ips:
            fleet.start_node(node)
        await fleet.wait_until_ready()
        await asyncio.sleep(3)
        clients = Clients(fleet)
        await clients.resolve()
        running = asyncio.create_task(clients.run(time.monotonic() + 26))
        await asyncio.sleep(3)
        stopped_at = None
        if with_trouble:
            fleet.processes["node-2"].kill()
            fleet.note("platform: node-2 is removed for good")
            await asyncio.sleep(8)
            stopped_at = time.time()
            fleet.processes["node-1"].send_signal(signal.SIGTERM)
            fleet.note("platform: SIGTERM to node-1")
            while time.time() < stopped_at + GRACE_S and not fleet.has_ended("node-1"):
                await asyncio.sleep(0.01)
            fleet.note("platform: node-1 has %s %.2f s after the SIGTERM" % (
                "ended" if fleet.has_ended("node-1") else "to be killed", time.time() - stopped_at))
            if not fleet.has_ended("node-1"):
                fleet.processes["node-1"].kill()
        await running
        return judge(fleet, clients, stopped_at)
    finally:
        fleet.stop()


async def store_answers(fleet):
    answer = await fleet.call(fleet.store, "GET", "/log-newest?topic=keyed.op&part=0")
    return answer.status == 200


def judge(fleet, clients, stopped_at):
    runs = fleet.runs()
    counts = {}
    lost, excused, before = [], [], []
    for attempt, (sent_at, _, text, ended_at) in clients.outcome.items():
        counts[text] = counts.get(text, 0) + 1
        if text != "closed" or attempt not in runs:
            continue
        if stopped_at is None or sent_at < stopped_at - 1:
            before.append(attempt)  # cut by the removal of node-2, or unexpected
        elif sent_at <= stopped_at + EXCUSED_S:
            excused.append(attempt)
        else:
            lost.append("%s (sent %.2f s, cut %.2f s after the SIGTERM)" % (attempt, sent_at - stopped_at, ended_at - stopped_at))
    fleet.note("outcomes %s; run and cut: %d at other times, %d excused, %d lost: %s" % (
        counts, len(before), len(excused), len(lost), ", ".join(lost)))
    # LOST, around planned work: a process has read a whole request, passed it on, and the connection ends without an
    # answer; not counted if it was sent no later than 3 s after the SIGTERM and the runner was still at work in the
    # last sixth of graceS. Without a disruption none may be cut at all.
    return bool(lost) or (stopped_at is None and bool(before))


deployment.main(case, FOLDER)
