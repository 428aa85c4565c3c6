"""A tenant gets another name while one of its consumers has an open transaction."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from harness_2 import Consumer, main  # noqa: E402

CONFIG_S = 5.0  # `config_ms` of the site
KEY = "key-4711"


def tenants(name):
    return [{"name": name, "api_keys": [KEY]}, {"name": "other", "api_keys": ["key-4712"]}]


async def play(deployment, trouble):
    consumer = Consumer(deployment, "vm-1", "c1")
    deployment.record("c1 START: " + await consumer.open("lead0", KEY))
    for text in ("BEGIN", "WRITE item1 data1"):
        _, end, _ = await consumer.ask(text)
        if not end.startswith("DONE"):
            raise OSError("a statement failed before any trouble")
    acked = time.monotonic()
    if trouble:
        await deployment.put_config(5, tenants=tenants("newname"))
        acked = time.monotonic()
        deployment.record("version 5 is acknowledged: the key is now held by the tenant newname")
    sent = {}
    for text in ["READ item1"] * 5 + ["WRITE item2 data2", "COMMIT"]:
        await asyncio.sleep(1.0)
        at = time.monotonic()
        _, end, _ = await consumer.ask(text)
        sent[f"c1-{consumer.count}"] = at
        if not end.startswith("DONE"):
            break
    await asyncio.sleep(0.3)
    # A new session of the same consumer shows that the version is in force.
    other = Consumer(deployment, "vm-1", "c2")
    deployment.record("c2 START: " + await other.open("lead0", KEY))
    await other.ask("READ item2")
    seen = [e for name in deployment.databases for e in deployment.events(name)]
    runs = [e for e in seen if e["event"] in ("run", "commit")]
    holder = "newname" if trouble else "oldname"
    wrong = [e for e in runs if e["qid"] in sent and sent[e["qid"]] > acked + CONFIG_S and e["caller"] != holder]
    if wrong:
        first = wrong[0]
        return (f"UNASKED/CONFIG: {len(wrong)} requests sent later than config_ms after the ack ran for tenant "
                f"{first['caller']}, which holds no key; first {first['qid']}")
    return None


main(play, tenants=tenants("oldname"))
