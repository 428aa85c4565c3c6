"""Starts a small deployment of the project's programs with stand-ins, for the scripts of this review.

Every process is started here and ended here, by its id. All addresses are loopback addresses with
free ports; all files but `record.txt` are in a temporary folder.
"""
import asyncio
import json
import os
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.request

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
sys.path.insert(0, HERE)
from standins_2 import call  # noqa: E402

ZONES = [("hall-a", "west"), ("hall-b", "north"), ("hall-c", "east")]
GRACE_S = 6


class CannotRun(Exception):
    """The case could not be played."""


_taken = set()


def free_port(following=0):
    """A free port, with as many free ports after it."""
    while True:
        sockets = []
        try:
            first = socket.socket()
            sockets.append(first)
            first.bind(("127.0.0.1", 0))
            port = first.getsockname()[1]
            wanted = range(port, port + following + 1)
            if port < 20000 or port + following > 65000 or _taken.intersection(wanted):
                continue
            for other in wanted[1:]:
                one = socket.socket()
                sockets.append(one)
                one.bind(("127.0.0.1", other))
            _taken.update(wanted)
            return port
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()


class Deployment:
    def __init__(self, record_file, vms=3, routes=None, sync_replicas=0, database_options=None, max_conns=23,
                 tenants=None, strong=0):
        self.record_file = record_file
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.vms, self.databases = {}, {}
        self.service = "svc0a"
        self.database_options = database_options or {}
        self.max_conns = max_conns
        self.sync_replicas = sync_replicas
        self.routes = routes or [
            {"host": "lead0", "kind": "primary", "timeout_ms": 800, "target_latency_ms": 300, "priority": 1},
        ]
        self.vm_count, self.strong = vms, strong
        self.tenants = tenants
        self.started = time.monotonic()

    def record(self, text):
        line = f"{time.monotonic() - self.started:8.3f} {text}"
        self.record_file.write(line + "\n")
        print(line, flush=True)

    def spawn(self, name, words, env=None):
        out = open(os.path.join(self.folder, name + ".out"), "ab")
        process = subprocess.Popen(words, cwd=ROOT, env=env, stdout=out, stderr=out, stdin=subprocess.DEVNULL)
        self.processes.append(process)
        return process

    def log_path(self, name):
        return os.path.join(self.folder, name + ".log")

    # -- stand-ins

    def start_platform(self):
        self.store_port, self.cloud_port = free_port(), free_port()
        # Each VM has a port of its own at the store, so that it can be cut off alone.
        self.vm_store_ports = [free_port() for _ in range(self.vm_count)]
        ports = ",".join(str(port) for port in [self.store_port, *self.vm_store_ports])
        self.spawn("platform", [sys.executable, os.path.join(HERE, "standins_2.py"), "platform",
                                ports, str(self.cloud_port), self.log_path("platform")])

    def start_database(self, name, zone, **options):
        known = self.databases.get(name)
        port = known["port"] if known else free_port(1)
        config = {"id": name, "service": self.service, "zone": zone, "port": port, "max_conns": self.max_conns,
                  "sync_replicas": self.sync_replicas}
        config.update(self.database_options)
        config.update(options)
        process = self.spawn(name, [sys.executable, os.path.join(HERE, "standins_2.py"), "database",
                                    str(self.store_port), json.dumps(config), self.log_path(name)])
        self.databases[name] = {"port": port, "process": process, "zone": zone}
        return process

    # -- the project's programs

    def cores(self, index):
        """The processor of a VM: as on the small sites, or as on the large ones, where a few have more."""
        if not self.strong:
            return 0.25
        return 0.5 if index < self.strong else 0.12

    def start_vm(self, name):
        vm = self.vms[name]
        settings = {
            "vm": name, "domain": vm["zone"], "callers": f"127.0.0.1:{vm['front']}",
            "peers": f"127.0.0.1:{vm['control']}", "admin": f"127.0.0.1:{vm['admin']}",
            "platform": [f"127.0.0.1:{vm['store']}"], "log": "info",
            "direct": {
                "ready": f"127.0.0.1:{vm['ready']}", "relay": f"127.0.0.1:{vm['relay']}",
                "orders": f"127.0.0.1:{self.cloud_port}",
                "seeds": [f"127.0.0.1:{other['control']}" for other in list(self.vms.values())[:3]],
                "regions": dict(ZONES), "grace": f"{GRACE_S}s", "descriptors": 4200, "cores": vm["cores"],
            },
        }
        path = os.path.join(self.folder, name + ".settings")
        with open(path, "w") as file:
            json.dump(settings, file)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = next(iter(tomllib.load(file)["roles"].values()))
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["LENTILSPOKE_CONFIG"] = path
        vm["process"] = self.spawn(name, shlex.split(role["run"]), env)

    def is_ready(self, name):
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{self.vms[name]['ready']}/api/ready", timeout=0.5) as reply:
                return reply.status == 200
        except OSError:
            return False

    def is_steward(self, name):
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{self.vms[name]['admin']}/metrics", timeout=1) as reply:
                text = reply.read().decode()
        except OSError:
            return False
        return bool(re.search(r"^\S*_steward(\{[^}]*\})? 1(\.0)?$", text, re.M))

    async def cut_from_store(self, names):
        """Cuts these VMs, and no others, off from the store."""
        await call(self.store_port, "POST", "/own/cut", [self.vms[name]["store"] for name in names])

    async def put_config(self, version, routes=None, tenants=None):
        routes = routes or self.routes
        config = {
            "version": version,
            "routes": [
                {"name": "r-" + r["host"], "path_prefix": "/", "service": self.service, "max_attempts": 2, **r}
                for r in routes
            ],
            "services": [{"name": self.service, "health_path": "/health", "max_conns": self.max_conns,
                          "protocol": "h1", "tls": False, "sync_replicas": self.sync_replicas}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
        }
        if tenants is not None or self.tenants is not None:
            config["tenants"] = self.tenants if tenants is None else tenants
        status, _ = await call(self.store_port, "POST", "/own/put", {"table": "op", "key": "config", "value": config})
        if status != 200:
            raise CannotRun("the stand-in of the store took no configuration")

    async def start(self):
        if not os.path.exists(os.path.join(ROOT, "target", "release", "lentilspoke")):
            raise CannotRun("target/release/lentilspoke is not built")
        self.start_platform()
        await self.until(lambda: self.listens(self.store_port), 5, "the stand-in of the platform")
        names = ["db0a", "db0b", "db0c"]
        for index, name in enumerate(names):
            follow = f"127.0.0.1:{self.databases['db0a']['port']}" if index else None
            self.start_database(name, ZONES[index][0], primary=index == 0, term=1, follow=follow)
        await self.put_config(1)
        for index in range(self.vm_count):
            self.vms[f"vm-{index}"] = {
                "zone": ZONES[index % 3][0], "front": free_port(), "ready": free_port(), "control": free_port(),
                "relay": free_port(), "admin": free_port(),
                "store": self.vm_store_ports[index], "cores": self.cores(index),
            }
        for name in self.vms:
            self.start_vm(name)
        await self.until(lambda: all(self.is_ready(name) for name in self.vms), 20, "the VMs")
        await self.until(lambda: any(self.is_steward(name) for name in self.vms), 10, "a steward")

    def listens(self, port):
        try:
            socket.create_connection(("127.0.0.1", port), 0.2).close()
            return True
        except OSError:
            return False

    async def until(self, holds, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await asyncio.to_thread(holds):
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{what}: not there within {seconds} s")

    def events(self, name):
        try:
            with open(self.log_path(name)) as file:
                return [json.loads(line) for line in file]
        except OSError:
            return []

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        # What the databases ran and the platform was ordered, behind what was sent and answered.
        events = [e for name in ["platform", *self.databases] for e in self.events(name)]
        self.record_file.write("\nwhat the stand-ins saw, in order of time\n")
        for event in sorted(events, key=lambda e: e["t"]):
            at = event.pop("t") - self.started
            self.record_file.write(f"{at:8.3f} {json.dumps(event)}\n")
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


class Consumer:
    """One session of a consumer."""

    def __init__(self, deployment, vm, name):
        self.deployment, self.vm, self.name, self.count = deployment, vm, name, 0

    async def open(self, host, key="caller1"):
        port = self.deployment.vms[self.vm]["front"]
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", port, limit=1 << 22), 2)
        self.writer.write(f"START {host} {key}\r\n".encode())
        return (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 3)).decode().strip()

    async def ask(self, text, seconds=10, quiet=False):
        """Sends one statement; returns its rows, how it ended, and the state; `None` for a broken connection."""
        self.count += 1
        qid = f"{self.name}-{self.count}"
        if not quiet:
            self.deployment.record(f"{self.name} at {self.vm} sends {qid} {text}")
        rows = []
        try:
            self.writer.write(f"QUERY {qid} {text}\r\n".encode())
            while True:
                line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), seconds)
                line = line.decode().strip()
                if line.startswith("ROW "):
                    rows.append(line[4:])
                elif line.startswith("READY "):
                    break
                else:
                    end = line
            answer = (rows, end, line)
        except (asyncio.IncompleteReadError, ConnectionError):
            answer = ([], "the connection ended without an answer", "")
        except asyncio.TimeoutError:
            answer = ([], "no answer", "")
        if not quiet:
            self.deployment.record(f"{self.name} is answered {qid}: {answer[0]} {answer[1]} {answer[2]}")
        return answer

    def close(self):
        self.writer.close()


def main(play, rounds=1, **options):
    """Plays a case: exit code 0 if the rule held, 1 if it was broken, 2 if the case could not run.

    A case that depends on chance is played in up to `rounds` deployments, until the rule is broken.
    """
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 0
    with open(os.path.join(folder, "record.txt"), "w", buffering=1) as record:
        for number in range(rounds):
            record.write(f"deployment {number + 1}\n")
            code = play_once(play, trouble, Deployment(record, **options), 110 / rounds)
            if code:
                break
    sys.exit(code)


def play_once(play, trouble, deployment, seconds):
    async def run():
        await deployment.start()
        return await play(deployment, trouble)

    try:
        broken = asyncio.run(asyncio.wait_for(run(), seconds))
        deployment.record("BROKEN: " + broken if broken else "the rule held")
        return 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        deployment.record(f"the case could not run: {error!r}")
        return 2
    finally:
        deployment.end()
