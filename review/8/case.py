"""Three nodes in one zone. The store is silent for 4.5 s and then well again. 4.5 s later the node that reads the target
list loses power for 3.5 s, and 1.2 s after that a runner's entry is removed, as that of a runner that never reports
`draining`. The runner goes on serving.

The rule is broken if a request that was sent to another node reaches the runner later than `drainMs` after the removal.
"""
import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import *  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S, CONTACT_S = 2.0, 3.0
OUTAGE_S, CALM_S, LOSS_TO_REMOVAL_S, POWER_OFF_S = 4.5, 4.5, 1.2, 3.5
RECORD = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")


def reader_of(nodes):
    """The node whose log says last that it reads the target list for its zone."""
    last = None
    for node in nodes:
        with open(os.path.join(node.deployment.folder, node.name + ".log")) as file:
            for line in file:
                event = json.loads(line) if line.startswith("{") else {}
                if event.get("event") == "store_reading_changed":
                    key = (event["ts_ms"], node)
                    if event["for_zone"] and (last is None or key[0] > last[0]):
                        last = key
    return last[1] if last else None


async def client(ip, record, sent):
    while True:
        attempt = attempt_id()
        sent[attempt] = (now(), ip)
        headers = [("Host", HOST), ("Tamarackrelay-Attempt-Id", attempt), ("Tamarackrelay-Deadline-Ms", "1500")]
        try:
            reader, writer = await asyncio.open_connection(ip, CALLER_PORT)
            try:
                writer.write(encode_request("GET", "/look/x", headers))
                line, answer = await asyncio.wait_for(read_head(reader), 2)
                await read_body(reader, answer)
                outcome = line.split(" ")[1]
            finally:
                writer.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as fault:
            outcome = type(fault).__name__
        record.write("client", attempt, "sent to", ip, "answered", outcome)
        await asyncio.sleep(0.05 + 0.05 * random.random())


async def platform(deployment):
    record = Record(RECORD)
    store = Store()
    await store.start(deployment.store_ip)
    store.put("keyed.op", "config", configuration(
        1, [route("look", "/look/", "idempotent", "app", maxAttempts=2)],
        [{"name": "app", "healthPath": "/healthz", "maxConns": 110}]))
    runs = []
    runners = []
    for i in (1, 2, 3):
        ip = f"{deployment.block}.1.{i}"
        served = Runner("app", ip, deployment.store_ip)
        served.on_run = lambda attempt, served=served: (runs.append((now(), served, attempt)),
                                                        record.write("runner", served.id, "runs", attempt))
        await served.start()
        runners.append(served)
    addresses = [f"{deployment.block}.2.{i}" for i in (1, 2, 3)]
    seeds = [f"{ip}:{ADMIN_PORT}" for ip in addresses]
    nodes = [Node(deployment, f"edge-a-{i + 1}", ip, "a", seeds) for i, ip in enumerate(addresses)]
    for node in nodes:
        node.start()
    for node in nodes:
        if not await node.is_ready():
            print("a node does not become ready")
            return 2
    sent = {}
    tasks = [asyncio.create_task(client(node.ip, record, sent)) for node in nodes for _ in range(2)]
    await asyncio.sleep(4)
    if TROUBLE:
        record.write("store: silent")
        store.mode = "silent"
        await asyncio.sleep(OUTAGE_S)
        store.mode = "up"
        record.write("store: well again")
    await asyncio.sleep(CALM_S)
    lost = reader_of(nodes)
    if not lost:
        print("no node says that it reads the target list")
        return 2
    if TROUBLE:
        record.write("platform:", lost.name, "loses power")
        lost.process.kill()
        lost.process.wait()
    await asyncio.sleep(LOSS_TO_REMOVAL_S)
    gone = runners[0]
    store.put("keyed.servers", gone.id, b"")
    removed_at = now()
    record.write("store: the entry of", gone.id, "is removed")
    await asyncio.sleep(POWER_OFF_S - LOSS_TO_REMOVAL_S)
    if TROUBLE:
        record.write("platform: starts", lost.name)
        lost.start()
    await asyncio.sleep(4)
    for task in tasks:
        task.cancel()
    late = []
    for at, served, attempt in runs:
        sent_at, ip = sent[attempt]
        if served is gone and at > removed_at + DRAIN_S and not (TROUBLE and ip == lost.ip):
            late.append((at - removed_at, attempt, ip))
            record.write("late:", attempt, "sent to", ip, "reached", gone.id, f"{at - removed_at:.3f} s after its removal")
    after = sum(1 for at, served, _ in runs if served is gone and removed_at < at)
    line = f"{len(late)} requests reached the runner later than {DRAIN_S} s after the removal of its entry, " \
           f"the last after {max([item[0] for item in late], default=0):.3f} s; {after} after the removal in all"
    record.write(line)
    print(line)
    return 1 if late else 0


def main():
    deployment = Deployment()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        return asyncio.run(platform(deployment))
    except (OSError, RuntimeError) as fault:
        print("the case could not run:", fault)
        return 2
    finally:
        deployment.end()


if __name__ == "__main__":
    leave(main)
