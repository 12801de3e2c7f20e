"""Two nodes in one zone, each with its own path to the store. Both are cut off from the store at once, the one that then
tries to read for the zone for 12 s and the other one for 8.2 s. They still reach each other. Half a second after the other
one is back, the operator adds a route.

The rule is broken if a node that has been back for `contactMs` refuses a request on the new route with 404 that was sent
later than `configDeadlineMs` after the acknowledgement.
"""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import *  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONFIG_DEADLINE_S, CONTACT_S = 2.0, 3.0
SHORT_CUT_S, LONG_CUT_S, HEAL_TO_CHANGE_S = 8.2, 12.0, 0.5
RECORD = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")


def is_reader(node):
    """Whether the node's log says last that it reads the store for its zone."""
    out = False
    with open(os.path.join(node.deployment.folder, node.name + ".log")) as file:
        for line in file:
            event = json.loads(line) if line.startswith("{") else {}
            if event.get("event") == "store_reading_changed":
                out = event["for_zone"]
    return out


async def client(ip, record, answers):
    while True:
        attempt, sent_at = attempt_id(), now()
        headers = [("Host", HOST), ("Tamarackrelay-Attempt-Id", attempt), ("Tamarackrelay-Deadline-Ms", "1500")]
        try:
            reader, writer = await asyncio.open_connection(ip, CALLER_PORT)
            try:
                writer.write(encode_request("GET", "/new/x", headers))
                line, answer = await asyncio.wait_for(read_head(reader), 2)
                await read_body(reader, answer)
                outcome = line.split(" ")[1]
            finally:
                writer.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as fault:
            outcome = type(fault).__name__
        answers.append((sent_at, outcome))
        record.write("client", attempt, "sent to", ip, "on the new route, answered", outcome)
        await asyncio.sleep(0.1)


async def platform(deployment):
    record = Record(RECORD)
    store = Store()
    await store.start(deployment.store_ip)
    services = [{"name": "app", "healthPath": "/healthz", "maxConns": 110}]
    old_route = route("look", "/look/", "idempotent", "app", maxAttempts=2)
    new_route = route("new", "/new/", "idempotent", "app", maxAttempts=2)
    store.put("keyed.op", "config", configuration(1, [old_route], services))
    for i in (1, 2, 3):
        served = Runner("app", f"{deployment.block}.1.{i}", deployment.store_ip)
        served.on_run = lambda attempt, served=served: record.write("runner", served.id, "runs", attempt)
        await served.start()
    proxies = [Proxy(f"{deployment.block}.0.{i}", deployment.store_ip) for i in (2, 3)]
    for proxy in proxies:
        await proxy.start()
    addresses = [f"{deployment.block}.2.{i}" for i in (1, 2)]
    seeds = [f"{ip}:{ADMIN_PORT}" for ip in addresses]
    nodes = [Node(deployment, f"edge-a-{i + 1}", ip, "a", seeds, proxies[i].ip) for i, ip in enumerate(addresses)]
    for node in nodes:
        node.start()
    for node in nodes:
        if not await node.is_ready():
            print("a node does not become ready")
            return 2
    await asyncio.sleep(4)
    if TROUBLE:
        record.write("both nodes are cut off from the store")
        for proxy in proxies:
            proxy.cut()
    await asyncio.sleep(SHORT_CUT_S)
    readers = [node for node in nodes if is_reader(node)]
    if len(readers) != 1:
        print("it is not one node that reads for the zone, but", len(readers))
        return 2
    other = next(node for node in nodes if node not in readers)
    own_path = proxies[nodes.index(other)]
    if TROUBLE:
        record.write(other.name, "reaches the store again")
        own_path.heal()
    healed_at = now()
    answers = []
    task = asyncio.create_task(client(other.ip, record, answers))
    await asyncio.sleep(HEAL_TO_CHANGE_S)
    store.put("keyed.op", "config", configuration(2, [old_route, new_route], services))
    acknowledged_at = now()
    record.write("store: the version with the new route is acknowledged")
    await asyncio.sleep(LONG_CUT_S - SHORT_CUT_S - HEAL_TO_CHANGE_S)
    if TROUBLE:
        record.write(readers[0].name, "reaches the store again")
        for proxy in proxies:
            proxy.heal()
    await asyncio.sleep(3)
    task.cancel()
    begin = max(acknowledged_at + CONFIG_DEADLINE_S, healed_at + CONTACT_S)
    late = [sent_at for sent_at, outcome in answers if outcome == "404" and sent_at > begin]
    line = f"{len(late)} requests on the new route were refused with 404 too late, the last one sent " \
           f"{max(late, default=acknowledged_at) - acknowledged_at:.3f} s after the acknowledgement"
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
