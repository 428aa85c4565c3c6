"""A primary crashes while one replica receives nothing and the other, which is draining, has its log."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import Consumer, Database, Proxy, Record, Service, Store, free_port, manifest  # noqa: E402
from standins import run_case, serve_http, serve_promotions, until  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(HERE))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# DRAINING=0: the same trouble, but the second replica is not to be shut down.
DRAINING = os.environ.get("DRAINING", "1") != "0"
REGIONS = {"braga-sala": "norte", "coimbra-sala": "centro", "pdelgada-sala": "acores"}


async def play(folder, proxies):
    record = Record(os.path.join(HERE, "record.txt"))
    store = Store()
    service = Service("dele69a", store, record, sync=1)
    primary, leaving, behind = (
        Database(service, name, zone) for name, zone in zip(("i-primary", "i-leaving", "i-behind"), REGIONS)
    )
    primary.primary = True
    service.databases = [primary, leaving, behind]
    store_port, orders_port = free_port(), free_port()
    servers = [await serve_http(store.answer, store_port)]
    servers.append(await serve_promotions([service], record, orders_port))
    await store.put("op", "config", manifest(service, {"filing": "primary", "status": "bounded_staleness"}))
    for database in service.databases:
        await database.listen()
    tasks = [asyncio.create_task(service.replicate())]
    for proxy in proxies:
        proxy.start(ROOT, folder, proxies, store_port, orders_port, REGIONS)
    for proxy in proxies:
        if not await until(proxy.is_ready, 15):
            record.add(f"{proxy.name} is not ready")
            return 2
    record.add("all proxies are ready")
    consumers = [
        Consumer(n, "filing", proxies[n % 3].callers, service, 0.1, f"WRITE {n}a data", record) for n in range(9)
    ]
    consumers += [
        Consumer(n, "status", proxies[n % 3].callers, service, 0.1, f"READ {n}a", record) for n in range(9, 12)
    ]
    tasks += [asyncio.create_task(consumer.run()) for consumer in consumers]
    await asyncio.sleep(2)

    # Planned: one replica is to be shut down. It goes on receiving, and counts toward `sync_replicas` until it ends.
    leaving.draining = DRAINING
    await asyncio.sleep(2)
    if TROUBLE:
        # replica_lag, "deaf crash": the other replica receives nothing for 6.5 s, and the primary crashes meanwhile.
        record.add("i-behind receives nothing from now on")
        behind.deaf = True
        await asyncio.sleep(1.5)
        primary.go_dark()
        await asyncio.sleep(3.5)
        primary.come_back()
        await asyncio.sleep(1.5)
        behind.deaf = False
    else:
        await asyncio.sleep(6.5)
    await asyncio.sleep(2)
    acked = len(service.acked)
    record.add(f"{acked} writes acknowledged; promoted: {service.promotions}; lost: {len(service.lost)}")
    for task in tasks:
        task.cancel()
    print(f"{acked} writes were acknowledged, promoted {service.promotions}, lost {len(service.lost)}")
    if acked < 50 or (TROUBLE and not service.promotions):
        return 2
    return 1 if service.lost else 0


if __name__ == "__main__":
    run_case([Proxy(f"front-{zone}-1", zone) for zone in REGIONS], play, 100)
