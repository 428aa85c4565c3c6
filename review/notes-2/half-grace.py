"""SIGTERM while a transaction is open, which ends well inside the first half of `grace_s`."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from harness_2 import GRACE_S, Consumer, main  # noqa: E402

COMMIT_AFTER_S = 2.8


async def play(deployment, trouble):
    stewards = [name for name in deployment.vms if deployment.is_steward(name)]
    name = next(name for name in deployment.vms if name not in stewards)
    consumer = Consumer(deployment, name, "c1")
    deployment.record("c1 START: " + await consumer.open("lead0"))
    for text in ("BEGIN", "WRITE item1 data1"):
        _, end, _ = await consumer.ask(text)
        if not end.startswith("DONE"):
            raise OSError("a statement failed before any trouble")
    started = time.monotonic()
    if trouble:
        deployment.vms[name]["process"].send_signal(signal.SIGTERM)
        deployment.record(f"SIGTERM to {name}")
    for at, text in ((0.7, "WRITE item2 data2"), (1.4, "READ item1"), (2.1, "WRITE item3 data3"),
                     (COMMIT_AFTER_S, "COMMIT")):
        await asyncio.sleep(started + at - time.monotonic())
        _, end, _ = await consumer.ask(text)
        if not end.startswith("DONE p."):
            took = time.monotonic() - started
            return (f"DRAIN: the open transaction was ended before the first half of grace_s was over "
                    f"({GRACE_S / 2} s): {text}, sent {at} s after SIGTERM, got {end} at {took:.3f} s")
    return None


main(play)
