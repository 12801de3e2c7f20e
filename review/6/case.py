"""Three nodes in three zones. They are cut off from the store for 4 s, while the runners and the operator still reach it.
1.2 s after that a runner's entry is removed, as that of a runner that never reports `draining`. The runner goes on serving.

The rule is broken if a request reaches the runner later than `drainMs` after the removal, and later than `contactMs` after
the end of the cut.
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
CUT_S, HEAL_TO_REMOVAL_S = 4.0, 1.2
RECORD = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")


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
    proxy = Proxy(f"{deployment.block}.0.2", deployment.store_ip)
    await proxy.start()
    addresses = [f"{deployment.block}.2.{i}" for i in (1, 2, 3)]
    seeds = [f"{ip}:{ADMIN_PORT}" for ip in addresses]
    nodes = [Node(deployment, f"edge-{zone}-1", ip, zone, seeds, proxy.ip) for zone, ip in zip("abc", addresses)]
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
        record.write("the nodes are cut off from the store")
        proxy.cut()
    await asyncio.sleep(CUT_S)
    if TROUBLE:
        record.write("the nodes reach the store again")
        proxy.heal()
    healed_at = now()
    await asyncio.sleep(HEAL_TO_REMOVAL_S)
    gone = runners[0]
    store.put("keyed.servers", gone.id, b"")
    removed_at = now()
    record.write("store: the entry of", gone.id, "is removed")
    await asyncio.sleep(6)
    for task in tasks:
        task.cancel()
    late = []
    for at, served, attempt in runs:
        _, ip = sent[attempt]
        if served is gone and at > max(removed_at + DRAIN_S, healed_at + CONTACT_S):
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
