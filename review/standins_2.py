#!/usr/bin/env python3
"""Stand-ins for the platform (store and promotions) and for databases, one process each.

    standins_2.py platform STORE_PORT,OTHER_STORE_PORT,... CLOUD_PORT LOG
    standins_2.py database STORE_PORT CONFIG_JSON LOG

They speak what PROTOCOL.md says. Every event goes to LOG as one JSON line with the time of the
monotonic clock, which all processes of one machine share. Only the Python standard library is used.
"""
import asyncio
import base64
import json
import os
import random
import signal
import sys
import time
import urllib.parse

HEARTBEAT_S = 1.2
MAX_MESSAGE = 1 << 20


class Log:
    def __init__(self, path):
        self.file = open(path, "a", buffering=1)

    def write(self, **event):
        event["t"] = round(time.monotonic(), 4)
        self.file.write(json.dumps(event) + "\n")


# ---------------------------------------------------------------- HTTP

async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    url = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
    return method, url.path, query, headers, body


CUT = set()  # ports of the store that are behind a partition: nothing is read or answered there


async def is_cut(port):
    """Waits while a port is behind a partition; returns whether it was."""
    was_cut = port in CUT
    while port in CUT:
        await asyncio.sleep(0.02)
    return was_cut


def http_server(handler):
    async def serve(reader, writer):
        port = writer.get_extra_info("sockname")[1]
        try:
            while True:
                request = await read_request(reader)
                if await is_cut(port):
                    return
                status, body = await handler(*request)
                if await is_cut(port):
                    return
                data = json.dumps(body).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()
    return serve


async def call(port, method, path, body=None, headers=None):
    """One HTTP call on a connection of its own; returns the status and the decoded body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        data = b"" if body is None else json.dumps(body).encode()
        extra = "".join(f"{k}: {v}\r\n" for k, v in (headers or {}).items())
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: x\r\n{extra}Content-Length: {len(data)}\r\n\r\n".encode() + data
        )
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ")[1])
        length = 0
        for line in head.split("\r\n"):
            if line.lower().startswith("content-length:"):
                length = int(line.split(":")[1])
        text = await reader.readexactly(length)
        return status, json.loads(text) if text[:1] in (b"{", b"[") else text.decode()
    finally:
        writer.close()


# ---------------------------------------------------------------- platform

class Store:
    """The transactional store, and the promotions."""

    def __init__(self, log):
        self.log = log
        self.rows = {}        # (table, part, key) -> (value, version)
        self.version = 0
        self.history = []     # (version, table, part, key, value or None)
        self.changed = asyncio.Condition()
        self.beats = {}       # key in `servers` -> time of the last write
        self.leads = {}       # service -> [term, id]
        self.fences = []

    def row(self, key):
        value, version = self.rows[key]
        return {"table": key[0], "part": key[1], "key": key[2], "value": value, "row_version": version}

    def answer(self, **more):
        more.update(row_version=self.version, now_ms=int(time.monotonic() * 1000))
        return more

    async def apply(self, writes, remove):
        self.version += 1
        for key, value in writes:
            self.rows[key] = (value, self.version)
            self.history.append((self.version, *key, value))
        for key in remove:
            if self.rows.pop(key, None) is not None:
                self.history.append((self.version, *key, None))
        async with self.changed:
            self.changed.notify_all()

    async def store(self, method, path, query, headers, body):
        if path == "/api/rows-tx":
            return await self.transaction(json.loads(body))
        if path == "/api/rows-get":
            await asyncio.sleep(0.004)
            return self.get(query)
        if path == "/api/rows-feed":
            return await self.feed(query)
        if path == "/own/cut":  # the driver of a case
            CUT.clear()
            CUT.update(json.loads(body))
            return 200, {}
        if path == "/own/put":  # the operator's and the databases' writes
            entry = json.loads(body)
            await asyncio.sleep(0.008)
            key = (entry["table"], "", entry["key"])
            if entry["value"] is None:
                self.beats.pop(entry["key"], None)
                await self.apply([], [key])
                return 200, self.answer()
            value = base64.b64encode(json.dumps(entry["value"]).encode()).decode()
            if entry["table"] == "servers":
                self.beats[entry["key"]] = time.monotonic()
            if self.rows.get(key, (None, 0))[0] != value:
                await self.apply([(key, value)], [])
            return 200, self.answer()
        return 404, {}

    async def transaction(self, change):
        await asyncio.sleep(0.008)
        def key(entry):
            return (entry["table"], entry.get("part", ""), entry["key"])
        for entry in change["expect"]:
            if self.rows.get(key(entry), (None, 0))[1] != entry.get("row_version", 0):
                found = [self.row(key(e)) for e in change["expect"] if key(e) in self.rows]
                return 412, self.answer(rows=found)
        if any(e["table"] in ("op", "servers") for e in change["writes"] + change["remove"]):
            return 403, {}
        await self.apply([(key(e), e["value"]) for e in change["writes"]], [key(e) for e in change["remove"]])
        return 200, self.answer()

    def get(self, query):
        part, first, end = query.get("part", ""), query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", "500")), 500)
        keys = sorted(
            k for k in self.rows
            if k[0] == query["table"] and k[1] == part and k[2] >= first and (end is None or k[2] < end)
        )
        return 200, self.answer(rows=[self.row(k) for k in keys[:limit]], has_more=len(keys) > limit)

    async def feed(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            rows = [
                {"table": t, "part": p, "key": k, "value": v, "row_version": n, "tombstone": v is None}
                for n, t, p, k, v in self.history if n > after and t == query["table"]
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, self.answer(rows=rows)
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def entry(self, server):
        value = self.rows.get(("servers", "", server), (None, 0))[0]
        return value and json.loads(base64.b64decode(value))

    async def cloud(self, method, path, query, headers, body):
        if path != "/promote":
            return 404, {}
        order = json.loads(body)
        service, server = order["service"], order["id"]
        self.log.write(event="promote", service=service, id=server,
                       holder=headers.get("duty-holder"), fence=headers.get("fencing-token"))
        entry = self.entry(server)
        if entry is None or entry["service"] != service:
            return 409, {"error": "not running"}
        term, lead = self.leads.setdefault(service, [1, None])
        if lead == server:
            return 200, {}
        try:
            host, port = entry["address"].split(":")
            reader, writer = await asyncio.open_connection(host, int(port) + 1)
        except OSError:
            return 409, {"error": "not running"}
        self.leads[service] = [term + 1, server]
        writer.write(json.dumps({"lead": term + 1}).encode() + b"\n")
        writer.close()
        for key in list(self.rows):
            if key[0] == "servers" and key[2] != server and (self.entry(key[2]) or {}).get("service") == service:
                try:
                    other = self.entry(key[2])["address"].split(":")
                    _, writer = await asyncio.open_connection(other[0], int(other[1]) + 1)
                    writer.write(json.dumps({"follow": entry["address"], "term": term + 1}).encode() + b"\n")
                    writer.close()
                except OSError:
                    pass
        return 200, {}

    async def expire(self):
        while True:
            await asyncio.sleep(0.2)
            late = [k for k, at in self.beats.items() if time.monotonic() - at > 3 * HEARTBEAT_S]
            for key in late:
                del self.beats[key]
                await self.apply([], [("servers", "", key)])


async def platform(store_ports, cloud_port, log):
    store = Store(log)
    for port in store_ports:
        await asyncio.start_server(http_server(store.store), "127.0.0.1", port)
    await asyncio.start_server(http_server(store.cloud), "127.0.0.1", cloud_port)
    log.write(event="platform listens")
    await store.expire()


# ---------------------------------------------------------------- database

class Database:
    """One database: its log, its role, and the sessions of its callers."""

    def __init__(self, config, store_port, log):
        self.config, self.store_port, self.log = config, store_port, log
        self.id, self.service = config["id"], config["service"]
        self.born = int(time.time() * 1000)
        self.primary = config.get("primary", False)
        self.term = config.get("term", 0)
        self.entries = []            # (term, item, data)
        self.applied = 0
        self.lead_address = config.get("follow")
        self.state = "ready"
        self.connections = 0
        self.slots = asyncio.Semaphore(config.get("slots", 3))
        self.seq = 0
        self.left_acked = False
        self.running = 0             # statements in progress
        self.deaf = False            # receives nothing; SIGUSR1 begins that, SIGUSR2 ends it
        self.received = {}           # by replica's connection: how many entries it has received

    def work(self):
        """How long a statement takes: `work_s` on average, scattered as `work_ms` in the site files."""
        mean = self.config.get("work_s", 0.006)
        spread = self.config.get("work_spread", 0.0)
        return min(mean * random.lognormvariate(-spread * spread / 2, spread), 2.5 * mean)

    def position(self, count):
        term = self.entries[count - 1][0] if count else 0
        return f"{term}.{count}"

    def has(self, position):
        term, number = (int(x) for x in position.split("."))
        return number <= self.applied and (number == 0 or self.entries[number - 1][0] >= term)

    async def commit(self, writes):
        for item, data in writes:
            self.entries.append((self.term, item, data))
        count = len(self.entries)
        if self.config.get("sync_replicas"):
            # The commit is acknowledged once a replica has received it.
            while not any(has >= count for has in self.received.values()):
                await asyncio.sleep(0.001)
        self.applied = max(self.applied, count)
        return count

    async def leave(self):
        """A planned end: reports `draining`, serves for `drain_ms` after the ack and a little longer, and ends."""
        self.state = "draining"
        while not self.left_acked:
            await asyncio.sleep(0.01)
        self.log.write(event="draining is acknowledged", id=self.id)
        await asyncio.sleep(self.config["drain_s"] + self.config.get("longer_s", 2.0))
        self.log.write(event="ends", id=self.id, running=self.running)
        try:
            await call(self.store_port, "POST", "/own/put", {"table": "servers", "key": self.id, "value": None})
        except (OSError, asyncio.IncompleteReadError):
            pass
        sys.stdout.flush()
        os._exit(0)

    async def beat(self):
        while True:
            self.seq += 1
            entry = {
                "service": self.service, "address": f"127.0.0.1:{self.config['port']}",
                "zone": self.config["zone"], "version": "v1", "slots": self.config.get("slots", 3),
                "state": self.state, "cold_ms": 0, "db_role": "primary" if self.primary else "replica",
                "seq": self.seq, "born": self.born,
            }
            try:
                await call(self.store_port, "POST", "/own/put", {"table": "servers", "key": self.id, "value": entry})
                self.left_acked = entry["state"] == "draining"
            except (OSError, asyncio.IncompleteReadError):
                pass
            told = (self.primary, self.state)
            until = time.monotonic() + HEARTBEAT_S
            while time.monotonic() < until and told == (self.primary, self.state):
                await asyncio.sleep(0.02)

    # Replication: a replica connects to the primary and receives its log.
    async def replicate(self):
        while True:
            await asyncio.sleep(0.05)
            if self.primary or not self.lead_address or self.deaf:
                continue
            address = self.lead_address
            try:
                host, port = address.split(":")
                reader, writer = await asyncio.open_connection(host, int(port) + 1)
                writer.write(json.dumps({"receive": len(self.entries), "term": self.term}).encode() + b"\n")
                while not self.primary and self.lead_address == address and not self.deaf:
                    line = await asyncio.wait_for(reader.readline(), 1.0)
                    if not line or self.deaf:
                        break
                    message = json.loads(line)
                    if "from" in message:
                        del self.entries[message["from"]:]
                        self.entries += [tuple(e) for e in message["entries"]]
                        self.term = max(self.term, message["term"])
                        writer.write(b"%d\n" % len(self.entries))
                        await asyncio.sleep(0.008)
                        self.applied = len(self.entries)
                writer.close()
            except (OSError, asyncio.TimeoutError, ValueError):
                pass

    async def internal(self, reader, writer):
        try:
            message = json.loads(await reader.readline())
            if "lead" in message:
                await asyncio.sleep(self.config.get("promote_s", 0.3))
                self.term, self.primary, self.applied = message["lead"], True, len(self.entries)
                self.log.write(event="leads", id=self.id, term=self.term, log=len(self.entries))
            elif "follow" in message:
                self.lead_address = message["follow"]
                if self.primary and message["term"] > self.term:
                    await asyncio.sleep(1.0)
                    self.primary = False
            elif "receive" in message:
                if not self.primary:
                    return
                sent = min(message["receive"], len(self.entries))
                if message["term"] != self.term:
                    sent = 0
                next_at = 0.0
                acks = asyncio.create_task(self.note_received(reader))
                while self.primary and not acks.done():
                    rest = self.entries[sent:]
                    if rest or time.monotonic() >= next_at:
                        text = json.dumps({"from": sent, "entries": rest, "term": self.term})
                        writer.write(text.encode() + b"\n")
                        await writer.drain()
                        sent += len(rest)
                        next_at = time.monotonic() + 0.5
                    await asyncio.sleep(0.002)
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def note_received(self, reader):
        try:
            while line := await reader.readline():
                self.received[reader] = int(line)
        except OSError:
            pass
        finally:
            self.received.pop(reader, None)

    async def session(self, reader, writer):
        self.connections += 1
        try:
            await Session(self, reader, writer).run()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections -= 1
            writer.close()


class Session:
    def __init__(self, database, reader, writer):
        self.db, self.reader, self.writer = database, reader, writer
        self.state, self.read_only, self.writes = "I", False, []
        self.values, self.names, self.caller = {}, {}, None

    async def line(self):
        return (await self.reader.readuntil(b"\r\n")).decode()[:-2]

    def send(self, *lines):
        self.writer.write("".join(f"{line}\r\n" for line in lines).encode())

    def ready(self):
        return f"READY {self.state} {self.db.position(self.db.applied)}"

    async def run(self):
        db = self.db
        words = (await self.line()).split(" ")
        if words[0] != "START" or words[1] != db.service or (len(words) > 3 and words[3] != db.id):
            return self.send("ERR WRONGNODE " + db.id)
        if db.connections > db.config.get("max_conns", 23):
            return self.send("ERR TOOMANY")
        self.caller = words[2]
        async with db.slots:
            await asyncio.sleep(0.012)
        self.send(self.ready())
        while True:
            line = await self.line()
            if line == "BYE":
                return
            _, qid, text = line.split(" ", 2)
            end, rows = await self.query(qid, text)
            await asyncio.sleep(self.db.config.get("answer_s", 0))
            self.send(*rows, end, self.ready())
            await self.writer.drain()

    def proof(self, qid):
        return f"DONE p.{self.db.id}.{qid}"

    async def query(self, qid, text):
        db, after = self.db, None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
            if not db.has(after):
                return "ERR LAGGING behind", []
        words = text.split(" ", 2)
        if self.state == "E" and words[0] not in ("COMMIT", "ROLLBACK"):
            return "ERR MALFORMED the transaction failed", []
        if words[0] == "EXEC":
            shape = self.names.get(words[1])
            if shape is None:
                return "ERR NOSTMT unknown", []
            words = [shape, *text.split(" ", 2)[2].split(" ", 1)]
        word = words[0]
        if word in ("READ", "WRITE", "COMMIT"):
            db.log.write(event="arrives", id=db.id, qid=qid)
            db.running += 1
            try:
                async with db.slots:
                    await asyncio.sleep(db.work())
            finally:
                db.running -= 1
        if word == "READ":
            found = [d for _, item, d in db.entries[:db.applied] if item == words[1]]
            db.log.write(event="run", id=db.id, born=db.born, qid=qid, text=text, log=db.position(db.applied),
                         row=found[-1] if found else None, state=self.state, caller=self.caller)
            return self.proof(qid), [f"ROW {found[-1]}"] if found else []
        if word == "WRITE":
            if not db.primary or self.read_only:
                self.state = "E" if self.state == "T" else "I"
                return "ERR READONLY " + db.id, []
            db.log.write(event="run", id=db.id, born=db.born, qid=qid, text=text, state=self.state, caller=self.caller)
            if self.state == "T":
                self.writes.append((words[1], words[2]))
            else:
                await db.commit([(words[1], words[2])])
            return self.proof(qid), []
        if word == "BEGIN":
            self.read_only = text == "BEGIN READ"
            if not db.primary and not self.read_only:
                return "ERR READONLY " + db.id, []
            self.state, self.writes = "T", []
            return "DONE -", []
        if word in ("COMMIT", "ROLLBACK"):
            failed, writes = self.state == "E", self.writes
            self.state, self.writes, self.read_only = "I", [], False
            db.log.write(event=word.lower(), id=db.id, qid=qid, writes=len(writes), caller=self.caller)
            if word == "ROLLBACK" or failed:
                return "DONE -", []
            if writes and not db.primary:
                return "ERR READONLY " + db.id, []
            if writes:
                await db.commit(writes)
            return self.proof(qid), []
        if word == "SET":
            self.values[words[1]] = words[2]
        elif word == "PREPARE":
            self.names[words[1]] = words[2].split(" ")[0]
        elif word == "DEALLOC":
            self.names.pop(words[1], None)
        elif word == "RESET":
            self.values, self.names = {}, {}
        elif word in ("STATUS", "STEPDOWN", "PAUSE", "RESUME"):
            if word == "STEPDOWN" and db.primary and db.term < int(words[1]):
                db.primary = False
            role = "primary" if db.primary else "replica"
            row = f"ROW {role} {db.term} {db.position(len(db.entries))} 0 0 0 {db.connections}"
            return "DONE -", [row]
        else:
            return "ERR MALFORMED unknown", []
        return "DONE -", []


async def database(store_port, config, log):
    db = Database(config, store_port, log)
    port = config["port"]
    await asyncio.start_server(db.internal, "127.0.0.1", port + 1, limit=8 * MAX_MESSAGE)
    await asyncio.start_server(db.session, "127.0.0.1", port, limit=2 * MAX_MESSAGE)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, lambda: setattr(db, "deaf", True))
    loop.add_signal_handler(signal.SIGUSR2, lambda: setattr(db, "deaf", False))
    loop.add_signal_handler(signal.SIGTERM, lambda: asyncio.ensure_future(db.leave()))
    log.write(event="database starts", id=db.id, born=db.born, primary=db.primary)
    await asyncio.gather(db.beat(), db.replicate())


def main():
    log = Log(sys.argv[4])
    if sys.argv[1] == "platform":
        ports = [int(port) for port in sys.argv[2].split(",")]
        asyncio.run(platform(ports, int(sys.argv[3]), log))
    else:
        asyncio.run(database(int(sys.argv[2]), json.loads(sys.argv[3]), log))


if __name__ == "__main__":
    main()
