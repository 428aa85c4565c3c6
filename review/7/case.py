"""The primary is to be replaced while one VM, the steward, is cut off from the store."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from harness_2 import Consumer, main  # noqa: E402

VMS = 18
DRAIN_S = 7.0     # `drain_ms` of the small sites
LONGER_S = 2.0    # how much longer the database serves than it has to
CUT_S = 12.0      # the longest `node_cut` of the site files
CONSUMERS = 12


async def play(deployment, trouble):
    steward = next(name for name in deployment.vms if deployment.is_steward(name))
    others = [name for name in deployment.vms if name != steward]
    if trouble:
        await deployment.cut_from_store([steward])
        deployment.record(f"{steward}, the steward, is cut off from the store")
    began = time.monotonic()
    until = began + CUT_S
    failed = []

    async def write(number):
        consumer = Consumer(deployment, others[number], f"c{number}")
        await consumer.open("lead0")
        while time.monotonic() < until - 0.5:
            _, end, _ = await consumer.ask(f"WRITE item{number} data{consumer.count}", quiet=True)
            if not end.startswith("DONE p.") and "BUSY" not in end:
                failed.append(f"{consumer.name}-{consumer.count}: {end}")
                deployment.record(f"{consumer.name} is answered {consumer.name}-{consumer.count}: {end}")
                if "connection" in end:
                    return
            await asyncio.sleep(0.05)

    async def leave():
        await asyncio.sleep(0.5)
        deployment.databases["db0a"]["process"].send_signal(signal.SIGTERM)
        deployment.record("db0a, the primary, is to leave")
        await asyncio.sleep(until - time.monotonic())
        await deployment.cut_from_store([])
        deployment.record("nothing is cut any more")

    await asyncio.gather(leave(), *(write(number) for number in range(CONSUMERS)))
    events = deployment.events("db0a")
    acked = next(e["t"] for e in events if e["event"] == "draining is acknowledged")
    late = [e for e in events if e["event"] == "arrives" and e["t"] > acked + DRAIN_S]
    deployment.record(f"{len(failed)} writes without a success, beside those refused as busy")
    if late:
        return (f"DRAIN: {len(late)} requests reached db0a later than drain_ms after the ack that it is draining, "
                f"first {late[0]['qid']}")
    return None


main(play, vms=VMS, database_options={"drain_s": DRAIN_S, "longer_s": LONGER_S})
