"""Stand-ins for the platform's store, its promotions, databases and consumers, by PROTOCOL.md.

All of them run in one process on loopback addresses; the proxies under test are processes of their own.
"""

import asyncio
import base64
import json
import os
import shutil
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"


GIVEN = set()


def free_port():
    """A port that nobody listens on and that was not given before: one is not listened on at once."""
    while True:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port = probe.getsockname()[1]
        if port not in GIVEN:
            GIVEN.add(port)
            return port


class Record:
    """The lines of record.txt: seconds since the start, and what happened."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", buffering=1)

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")


class Store:
    """The platform's store: versioned rows, transactions under conditions, and a feed."""

    ANSWER_S = 0.004

    def __init__(self):
        self.rows = {}
        self.gone = {}
        self.version = 0
        self.changed = asyncio.Condition()
        self.start = time.monotonic()

    async def put(self, table, key, value):
        """A write of the operator or of a database."""
        await self.apply([(table, "", key, base64.b64encode(json.dumps(value).encode()).decode())], [])

    async def drop(self, table, key):
        await self.apply([], [(table, "", key)])

    async def apply(self, writes, removals):
        async with self.changed:
            self.version += 1
            for table, part, key, value in writes:
                self.rows[table, part, key] = (value, self.version)
                self.gone.pop((table, part, key), None)
            for row in removals:
                if self.rows.pop(row, None):
                    self.gone[row] = self.version
            self.changed.notify_all()

    def page(self, rows, **more):
        now_ms = int((time.monotonic() - self.start) * 1000)
        return {"rows": rows, "row_version": self.version, "now_ms": now_ms, **more}

    def row(self, row):
        table, part, key = row
        value, version = self.rows.get(row, (None, 0))
        shown = {"table": table, "part": part, "key": key, "row_version": version}
        if value is not None:
            shown["value"] = value
        return shown

    async def answer(self, method, path, query, headers, body):
        await asyncio.sleep(self.ANSWER_S)
        if (method, path) == ("POST", "/api/rows-tx"):
            return await self.transact(json.loads(body))
        if (method, path) == ("GET", "/api/rows-get"):
            return 200, self.get(query)
        if (method, path) == ("GET", "/api/rows-feed"):
            return 200, await self.feed(query)
        return 404, {}

    async def transact(self, call):
        def name(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        if any(name(entry)[0] in ("op", "servers") for entry in call["writes"] + call["remove"]):
            return 403, {}
        expected = [(name(entry), entry["row_version"]) for entry in call["expect"]]
        if any(self.rows.get(row, (None, 0))[1] != version for row, version in expected):
            return 412, self.page([self.row(row) for row, _ in expected if row in self.rows])
        writes = [(*name(entry), entry["value"]) for entry in call["writes"]]
        await self.apply(writes, [name(entry) for entry in call["remove"]])
        return 200, self.page([])

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        first, end, limit = query.get("from", ""), query.get("to"), int(query.get("limit", 500))
        found = sorted(r for r in self.rows if r[:2] == (table, part) and r[2] >= first and (end is None or r[2] < end))
        return self.page([self.row(row) for row in found[:limit]], has_more=len(found) > limit)

    async def feed(self, query):
        table, after = query["table"], int(query["after"])

        def changes():
            new = [(v, self.row(r)) for r, (_, v) in self.rows.items() if r[0] == table and v > after]
            for (t, part, key), version in self.gone.items():
                if t == table and version > after:
                    row = {"table": t, "part": part, "key": key, "row_version": version, "tombstone": True}
                    new.append((version, row))
            return [row for _, row in sorted(new, key=lambda one: one[0])]

        async with self.changed:
            try:
                wait = self.changed.wait_for(changes)
                await asyncio.wait_for(wait, int(query.get("wait_ms", 0)) / 1000)
            except asyncio.TimeoutError:
                pass
            return self.page(changes())


async def serve_http(answer, port):
    async def connection(reader, writer):
        try:
            while line := await reader.readline():
                method, target, _ = line.decode().split()
                headers = {}
                while (line := await reader.readline()).strip():
                    key, value = line.decode().split(":", 1)
                    headers[key.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                parts = urlsplit(target)
                query = {key: values[0] for key, values in parse_qs(parts.query, keep_blank_values=True).items()}
                status, shown = await answer(method, parts.path, query, headers, body)
                text = json.dumps(shown).encode()
                head = f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {len(text)}\r\n\r\n"
                writer.write(head.encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, HOST, port)


class Database:
    """A database of a service: a log, and the line protocol."""

    BEAT_S = 1.2

    def __init__(self, service, name, zone):
        self.service, self.id, self.zone = service, name, zone
        self.port = free_port()
        self.primary, self.term, self.base = False, 1, 0
        self.log = []  # (term, number, [statement ids], when it was written)
        self.draining = self.deaf = self.dark = False
        self.delay = service.delay_s
        self.writers = set()

    def position(self):
        term, number = self.log[-1][:2] if self.log else (1, 0)
        return f"{term}.{number}"

    async def listen(self):
        self.server = await asyncio.start_server(self.connection, HOST, self.port)
        self.beat = asyncio.create_task(self.register())

    def entry(self):
        return {
            "service": self.service.name, "address": f"{HOST}:{self.port}", "zone": self.zone, "version": "v1",
            "slots": self.service.slots, "state": "draining" if self.draining else "ready", "cold_ms": 0,
            "db_role": "primary" if self.primary else "replica", "seq": 1,
        }

    async def register(self):
        """Writes the entry as it changes; it expires after three intervals of silence."""
        shown, silent_since = None, None
        while True:
            if self.dark:
                silent_since = silent_since or time.monotonic()
                if shown and time.monotonic() > silent_since + 3 * self.BEAT_S:
                    shown = await self.service.store.drop("servers", self.id)
            else:
                silent_since = None
                entry = self.entry()
                if entry != shown:
                    shown = entry
                    await self.service.store.put("servers", self.id, entry)
                    self.service.record.add(f"register {self.id} {entry['db_role']} {entry['state']}")
            await asyncio.sleep(0.02)

    def go_dark(self):
        self.service.record.add(f"database {self.id} goes dark, its log at {self.position()}")
        self.dark = True

    def come_back(self):
        """Power is back: it has its log, no connection of before, and is a replica if another was promoted."""
        self.dark = False
        others = [one.term for one in self.service.databases if one.primary and one is not self]
        if max(others, default=0) > self.term:
            self.primary = False
        for writer in list(self.writers):
            writer.transport.abort()
        self.service.record.add(f"database {self.id} is back, its log at {self.position()}")

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.session(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def lit(self):
        """A database without power answers nothing, for ever on this connection."""
        while self.dark:
            await asyncio.sleep(0.02)

    async def session(self, reader, writer):
        line = (await reader.readuntil(b"\r\n"))[:-2].decode()
        await self.lit()
        fields = line.split(" ")
        if fields[0] != "START" or fields[1] != self.service.name or fields[3:] not in ([], [self.id]):
            writer.write(f"ERR WRONGNODE {self.id}\r\n".encode())
            return
        await asyncio.sleep(self.service.connect_s)
        writer.write(f"READY I {self.position()}\r\n".encode())
        state, reads_only, pending, prepared = "I", False, [], {}
        while True:
            line = (await reader.readuntil(b"\r\n"))[:-2].decode()
            await self.lit()
            if line == "BYE":
                return
            _, number, text = line.split(" ", 2)
            answer = []
            end = "DONE -"
            after = None
            if text.startswith("AFTER "):
                _, after, text = text.split(" ", 2)
            word, _, rest = text.partition(" ")
            writes = word == "WRITE"
            if word == "EXEC":
                shape = prepared.get(rest.split(" ")[0])
                writes = shape is not None and shape.startswith("WRITE")
                word = "NOSTMT" if shape is None else ("WRITE" if writes else "READ")
            plain = state == "T" and not reads_only
            behind = after and tuple(map(int, after.split("."))) > tuple(map(int, self.position().split(".")))
            if state == "E" and word not in ("COMMIT", "ROLLBACK"):
                end = "ERR MALFORMED end it first"
            elif behind:
                end = "ERR LAGGING"
            elif plain and not self.primary and not (word == "COMMIT" and not pending):
                end, state = "ERR READONLY " + self.id, "E"
            elif word in ("SET", "DEALLOC"):
                pass
            elif word == "RESET":
                prepared = {}
            elif word == "PREPARE":
                name, _, shape = rest.partition(" ")
                prepared[name] = shape
            elif word == "STATUS":
                role = "primary" if self.primary else "replica"
                answer.append(f"ROW {role} {self.term} {self.position()} 0 0 0 {len(self.writers)}")
            elif word == "STEPDOWN":
                if self.primary and self.term < int(rest):
                    self.primary = False
                    self.service.record.add(f"database {self.id} steps down for term {rest}")
                role = "primary" if self.primary else "replica"
                answer.append(f"ROW {role} {self.term} {self.position()} 0 0 0 {len(self.writers)}")
            elif word == "BEGIN":
                if rest != "READ" and not self.primary:
                    end = "ERR READONLY " + self.id
                else:
                    state, reads_only, pending = "T", rest == "READ", []
            elif word == "ROLLBACK":
                state, pending = "I", []
            elif word == "READ":
                await asyncio.sleep(self.service.work_s)
                answer.append("ROW data")
                end = f"DONE {self.id}.{number}"
            elif word == "WRITE" and state == "I" and not self.primary:
                end = "ERR READONLY " + self.id
            elif word == "WRITE" and state == "T":
                await asyncio.sleep(self.service.work_s)
                pending.append(number)
                end = f"DONE {self.id}.{number}"
            elif word in ("WRITE", "COMMIT"):
                await asyncio.sleep(self.service.work_s)
                ids = [number] if word == "WRITE" else pending
                if ids and not await self.commit(ids):
                    end = "ERR READONLY " + self.id
                else:
                    end = f"DONE {self.id}.{number}"
                state, pending = "I", []
            else:
                end = "ERR NOSTMT" if word == "NOSTMT" else "ERR MALFORMED"
            await self.lit()
            lines = [*answer, end, f"READY {state} {self.position()}"]
            writer.write(("\r\n".join(lines) + "\r\n").encode())

    async def commit(self, ids):
        """Appends to the log, and waits until one replica has it where the service has `sync_replicas`."""
        if not self.primary or self.dark:
            await self.lit()
            return False
        entry = (self.term, len(self.log) + 1, ids, time.monotonic())
        self.log.append(entry)
        self.service.record.add(f"run {','.join(ids)} commits as {entry[0]}.{entry[1]} at {self.id}")
        while self.service.sync and not any(entry in one.log for one in self.service.databases if one is not self):
            await asyncio.sleep(0.002)
        return True


class Service:
    """The databases of one service, and the replication between them."""

    def __init__(self, name, store, record, sync, max_conns=30, slots=2, promote_s=0.3, delay_s=0.012):
        self.name, self.store, self.record, self.sync = name, store, record, sync
        self.max_conns, self.slots, self.promote_s, self.delay_s = max_conns, slots, promote_s, delay_s
        self.connect_s, self.work_s = 0.012, 0.003
        self.databases = []
        self.promotions = []
        self.lost = []
        self.acked = {}  # statement id -> when its consumer read the success

    async def replicate(self):
        while True:
            source = next((one for one in self.databases if one.primary and not one.dark), None)
            newest = max((one.term for one in self.databases if one.primary), default=0)
            for one in self.databases:
                if source is None or one is source or one.dark or one.deaf or one.primary:
                    continue
                if source.term < newest:
                    continue
                if one.log != source.log[: len(one.log)]:
                    while one.log != source.log[: len(one.log)]:
                        one.log.pop()
                one.term = max(one.term, source.term)
                due = time.monotonic() - one.delay
                for entry in source.log[len(one.log):]:
                    if entry[3] > due:
                        break
                    one.log.append(entry)
            await asyncio.sleep(0.002)

    async def promote(self, name):
        """Some hundred ms after the call the database leads the next term with what it had received."""
        chosen = next((one for one in self.databases if one.id == name), None)
        if chosen is None or chosen.dark:
            return 409
        if chosen.primary and chosen.term == max(one.term for one in self.databases if one.primary):
            return 200
        self.record.add(f"promote {name} is accepted")
        asyncio.create_task(self.take_lead(chosen))
        return 200

    async def take_lead(self, chosen):
        await asyncio.sleep(self.promote_s)
        held = {number for entry in chosen.log for number in entry[2]}
        missing = sorted(number for number in self.acked if number not in held)
        self.promotions.append(chosen.id)
        self.lost += missing
        old = [one for one in self.databases if one.primary]
        chosen.term = max(one.term for one in self.databases) + 1
        chosen.primary = True
        self.record.add(
            f"promote {chosen.id} takes effect: term {chosen.term}, log at {chosen.position()};"
            f" {len(missing)} acknowledged writes are not in that log: {' '.join(missing[:5])}"
        )
        for one in old:
            asyncio.create_task(self.step_down(one, chosen))

    async def step_down(self, old, new):
        """The old primary is a replica a second after it can reach the new one."""
        while old.dark or new.dark:
            await asyncio.sleep(0.02)
        await asyncio.sleep(1)
        if old.primary and old.term < new.term:
            old.primary = False
            self.record.add(f"database {old.id} is a replica now")


async def serve_promotions(services, record, port):
    async def answer(method, path, query, headers, body):
        await asyncio.sleep(0.004)
        call = json.loads(body)
        record.add(
            f"POST /promote {call['service']} {call['id']} by {headers.get('duty-holder')}"
            f" token {headers.get('fencing-token')}"
        )
        service = next(one for one in services if one.name == call["service"])
        return await service.promote(call["id"]), {}

    return await serve_http(answer, port)


class Consumer:
    """A consumer that sends single statements, one after the other, with a pause between."""

    def __init__(self, number, host, port, service, pause_s, text, record):
        self.number, self.host, self.port, self.service = number, host, port, service
        self.pause_s, self.text, self.record = pause_s, text, record
        self.sent = self.done = 0

    async def run(self):
        while True:
            try:
                await self.session()
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)

    async def session(self):
        reader, writer = await asyncio.open_connection(HOST, self.port)
        try:
            writer.write(f"START {self.host} k{self.number}\r\n".encode())
            line = await asyncio.wait_for(reader.readuntil(b"\r\n"), 2)
            if not line.startswith(b"READY"):
                return
            while True:
                self.sent += 1
                number = f"{self.number:02x}{self.sent:06x}"
                self.record.add(f"send {number} {self.text}")
                writer.write(f"QUERY {number} {self.text}\r\n".encode())
                end = None
                while True:
                    line = (await asyncio.wait_for(reader.readuntil(b"\r\n"), 5))[:-2].decode()
                    if line.startswith(("DONE", "ERR")):
                        end = line
                    if line.startswith("READY"):
                        break
                if end.startswith("DONE") and self.text.startswith("WRITE"):
                    self.service.acked[number] = self.record.now()
                self.done += end.startswith("DONE")
                self.record.add(f"answer {number} {end}")
                await asyncio.sleep(self.pause_s)
        finally:
            writer.close()


class Proxy:
    """One lentilspoke process, with settings as deploy/settings.jsonc makes them."""

    def __init__(self, name, zone):
        self.name, self.zone = name, zone
        self.callers, self.peers, self.admin, self.ready, self.relay = (free_port() for _ in range(5))
        self.process = None

    def start(self, root, folder, proxies, store_port, orders_port, regions):
        settings = {
            "vm": self.name, "domain": self.zone, "callers": f"{HOST}:{self.callers}", "peers": f"{HOST}:{self.peers}",
            "admin": f"{HOST}:{self.admin}", "platform": [f"{HOST}:{store_port}"], "log": "info",
            "direct": {
                "ready": f"{HOST}:{self.ready}", "relay": f"{HOST}:{self.relay}", "orders": f"{HOST}:{orders_port}",
                "seeds": [f"{HOST}:{one.peers}" for one in proxies[:3]], "regions": regions, "grace": "6s",
                "descriptors": 4300, "cores": 0.25,
            },
        }
        path = os.path.join(folder, self.name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        self.log = open(os.path.join(folder, self.name + ".log"), "w")
        self.process = subprocess.Popen(
            ["target/release/lentilspoke", "serve"], cwd=root, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "LENTILSPOKE_CONFIG": path},
        )

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
            writer.write(b"GET /api/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def manifest(service, hosts):
    return {
        "version": 1,
        "routes": [
            {
                "name": "r-" + host, "host": host, "path_prefix": "/", "kind": kind, "timeout_ms": 800,
                "target_latency_ms": 400, "priority": 1, "service": service.name, "max_attempts": 2,
                **({"max_staleness_ms": 1500} if kind != "primary" else {}),
            }
            for host, kind in hosts.items()
        ],
        "services": [
            {"name": service.name, "health_path": "/health", "max_conns": service.max_conns, "protocol": "h1",
             "tls": False, "sync_replicas": service.sync}
        ],
        "limits": {"tx_idle_ms": 3000},
    }


def run_case(proxies, play, seconds):
    """Plays a case with these proxies, ends them all, and exits with the result; 2 if it could not be played."""
    result = 2
    with tempfile.TemporaryDirectory() as folder:
        try:
            result = asyncio.new_event_loop().run_until_complete(asyncio.wait_for(play(folder, proxies), seconds))
        except Exception as error:
            print(f"the case could not run: {error!r}")
        finally:
            for proxy in proxies:
                proxy.end()
            logs = os.environ.get("KEEP_LOGS")
            for proxy in proxies if logs else []:
                shutil.copy(os.path.join(folder, proxy.name + ".log"), logs)
    sys.stdout.flush()
    # The stand-ins' open connections need no further handling.
    os._exit(result)


async def until(ready, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await ready():
            return True
        await asyncio.sleep(0.1)
    return False
