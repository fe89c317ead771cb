"""Stand-ins for the platform, written for the cases of this review: servers, the discovery service, clients and the
start of the balancer with the command of the deploy file. Loopback addresses, free ports and the real clock only.
Needs Python 3.8 and its standard library."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"


class Record:
    """Writes what happened, each line with the seconds since the start of the run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def log(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def deploy_command(key):
    """A command of deploy/balancer.toml."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(rf'^{key}\s*=\s*"(.*)"', file.read(), re.MULTILINE)
    return found.group(1)


TAKEN = set()


def free_port():
    """A free port below those that the system gives to outgoing connections, so that none of these takes it meanwhile."""
    while True:
        port = random.randrange(12000, 30000)
        if port in TAKEN:
            continue
        TAKEN.add(port)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
                return port
            except OSError:
                continue


class Server:
    """A sound server: takes clients, answers each line at once. While it drains it turns new clients away with BUSY,
    and sends the ones that it has away with MOVE if `moves_clients`; once it has left, it is gone."""

    def __init__(self, record, name, moves_clients=True, set_up=0.0):
        self.record, self.name, self.moves_clients, self.set_up = record, name, moves_clients, set_up
        self.status = "Ready"
        self.since_ms = 0
        self.opens = []  # (time, connection id, answer)
        self.connections = {}  # writer -> connection id
        self.setting_up = {}  # connection id -> since when the server works on its set-up
        self.receipts = 0

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    def entry(self):
        return {"name": self.name, "address": f"{HOST}:{self.port}", "zone": "borongaj", "type": "mid-5",
                "group": 1, "status": self.status, "weight": 1.0, "since_ms": self.since_ms}

    async def serve(self, reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line.endswith(b"\r\n"):
                    return
                text = line.decode().strip()
                if text == "PING":
                    writer.write(b"PONG\r\n")
                elif text.startswith("OPEN ") and writer not in self.connections:
                    if not await self.on_open(reader, writer, text):
                        return
                elif writer in self.connections:
                    writer.write(b"OK " + line)
                else:
                    writer.write(b"SYNTAX\r\n")
                    self.record.log(f"{self.name} got a line that is none: {text!r}")
                    return
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.pop(writer, None)
            writer.close()

    async def on_open(self, reader, writer, text):
        opened = text.split(" ")[1]
        if self.status != "Ready":
            self.opens.append((self.record.now(), opened, "BUSY"))
            self.record.log(f"{self.name} ({self.status}) got OPEN {opened}, answers BUSY")
            writer.write(b"BUSY\r\n")
            await writer.drain()
            return False
        self.receipts += 1
        receipt = f"{self.name}-{self.receipts}"
        self.opens.append((self.record.now(), opened, receipt))
        self.record.log(f"{self.name} got {text!r}")
        if self.set_up:
            # What was taken before a drain began is finished.
            self.setting_up[opened] = self.record.now()
            await asyncio.sleep(self.set_up)
            del self.setting_up[opened]
        self.record.log(f"{self.name} answers {opened} with UP {receipt}")
        self.connections[writer] = opened
        writer.write(f"UP {receipt}\r\n".encode())
        return True

    def drain(self):
        self.status = "Terminating"
        self.record.log(f"{self.name} begins to drain with {len(self.connections)} connections")
        if self.moves_clients:
            for writer in list(self.connections):
                writer.write(b"MOVE\r\n")
                writer.close()

    def leave(self):
        """The process ends: its connections are reset and new ones are refused."""
        self.status = "Gone"
        self.record.log(f"{self.name} leaves with {len(self.connections)} connections")
        self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()


class Discovery:
    """The discovery service: a watch, as the protocol page describes it. `delay` is how long a call waits for its
    turn; a call that is served is served completely, with the list as it is then."""

    def __init__(self, record, servers, delay=0.0, encode=json.dumps):
        self.record, self.delay, self.encode = record, delay, encode
        self.index = 41
        self.entries = {server.name: server.entry() for server in servers}
        self.versions = {}  # name -> version of its last change
        self.first = self.index
        self.watches = set()
        self.calls = 0
        self.told = []  # (time, version, by whom it was asked for) of each list that was written
        self.names = {}  # port -> the balancer that has this port for itself

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def own_port(self, name):
        """A port of discovery for one balancer alone, so that its calls can be told from others'."""
        listener = await asyncio.start_server(self.serve, HOST, 0)
        port = listener.sockets[0].getsockname()[1]
        self.names[port] = name
        return port

    def known(self):
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def change(self, *servers):
        """The list changes; open watches are told at once."""
        self.index += 1
        changed = [server.entry() for server in servers]
        for entry in changed:
            self.entries[entry["name"]] = entry
            self.versions[entry["name"]] = self.index
        shown = ", ".join(f"{entry['name']} {entry['status']}" for entry in changed)
        self.record.log(f"discovery has version {self.index}: {shown}; {len(self.watches)} open watches")
        for queue in self.watches:
            queue.put_nowait({"index": self.index, "snapshot": False, "endpoints": changed})

    def since(self, version):
        if version < self.first or version > self.index:
            alive = [entry for entry in self.entries.values() if entry["status"] != "Gone"]
            return {"index": self.index, "snapshot": True, "endpoints": alive}
        changed = [entry for name, entry in self.entries.items() if self.versions.get(name, 0) > version]
        return {"index": self.index, "snapshot": False, "endpoints": changed}

    async def serve(self, reader, writer):
        queue = asyncio.Queue()
        closed = None
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            self.calls += 1
            call = self.calls
            path = head.split(" ")[1]
            asked = re.search(r"Host: (\S+)", head, re.IGNORECASE).group(1)
            caller = self.names.get(writer.get_extra_info("sockname")[1], asked)
            self.record.log(f"discovery call {call} of {caller}: {path}")
            closed = asyncio.ensure_future(reader.read(1))
            if self.delay:
                await asyncio.wait([closed], timeout=self.delay)
                if closed.done():
                    self.record.log(f"discovery call {call}: the balancer gave it up before its turn")
                    return
            version = int(re.search(r"since=(\d+)", path).group(1)) if "since=" in path else -1
            first = self.since(version)
            self.watches.add(queue)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.write(writer, first, call, caller)
            if "follow=1" not in path:
                writer.write(b"0\r\n\r\n")
                await writer.drain()
                return
            while not closed.done():
                get = asyncio.ensure_future(queue.get())
                await asyncio.wait([get, closed], timeout=2.0, return_when=asyncio.FIRST_COMPLETED)
                if get.done():
                    self.write(writer, get.result(), call, caller)
                else:
                    get.cancel()
                    if not closed.done():
                        writer.write(b"2\r\n\r\n\r\n")
                await writer.drain()
            self.record.log(f"discovery call {call}: the balancer ended its watch")
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.watches.discard(queue)
            if closed:
                closed.cancel()
            writer.close()

    def write(self, writer, message, call, caller):
        body = (self.encode(message) + "\n").encode()
        writer.write(f"{len(body):x}\r\n".encode() + body + b"\r\n")
        self.told.append((self.record.now(), message["index"], caller))
        self.record.log(f"discovery call {call}: wrote version {message['index']} with {len(message['endpoints'])} entries")


async def ask(record, discovery):
    """Asks discovery as a patient balancer would: one call, from a version on. Returns how long its answer took."""
    asked_at = record.now()
    reader, writer = await asyncio.open_connection(HOST, discovery.port)
    writer.write(b"GET /v1/servers?follow=1&since=41 HTTP/1.1\r\nHost: witness\r\n\r\n")
    await reader.readuntil(b"\r\n\r\n")
    await reader.readline()
    line = await reader.readline()
    writer.close()
    record.log(f"a witness that asks discovery and waits got {line.decode().strip()} after {record.now() - asked_at:.3f} s")
    return record.now() - asked_at


def settings(**changes):
    """The settings of a small deployment, in the form of the wire page's example."""
    chosen = {
        "classes": [{"give_up_s": 3.2, "group": "all", "late_worth": 0.0, "name": "ticket-stream", "promise_s": 0.8,
                     "semantics": "read_like", "streamed": True, "window_s": 5.0, "worth": 1.0}],
        "clients": {"marks_retry": False}, "family": "conn", "flavors": ["fast-4", "mid-5", "slow-4"],
        "goal": {"whole": 0.8, "worst_class": 0.0, "worst_tenant": 0.1, "worst_window": 0.1}, "group_size": 1,
        "limits": {"cancel": True, "connect_timeout_s": 0.15, "cpu_us_per_request": 0.0, "cpu_us_per_s": 15000,
                   "idle_close_s": 5.0, "max_attempts": 5, "max_open": 1000000, "max_retry_after_s": 1.5,
                   "max_streams": 1048576, "may_probe": True, "may_tell": False, "retry_after": True,
                   "second_copies": False},
        "load_info": {"columns": [], "source": "off"}, "me": 0, "over_share_worth": 0.1, "registry_mode": "ask",
        "rules": {"answer_slack_s": 0.02, "ask_within_s": 10.0, "drain_grace_s": 1.0, "fall_multiple": 3.0,
                  "overload_for_s": 1.5, "start_capacity": 0.13, "warm_within_s": 22.0},
        "specifics": {"groups": True, "hint": "usual load of the connection", "message_aim_s": [0.05], "mode": "proxy",
                      "notes": "1 the load of the connection now; 2 milliseconds that a message takes", "park_s": 0.0,
                      "report_x0": "", "report_x1": "", "tells_delay": True, "tells_load": True,
                      "tenant_quota_connections": [146.0, 111.0, 69.0, 58.0]},
        "tariffs": {"connection": 0.03, "cross_zone": 0.03, "handshake": 0.03, "late_fail": 0.03, "moves": 0.01,
                    "origin": 0.0, "peer": 0.0, "probe": 0.002, "registry_mode": 0.0, "waste": 0.05},
        "tenants": [{"fraction": 0.38, "name": "grad-uprava", "quota_per_s": 8.0},
                    {"fraction": 0.29, "name": "fakultet-tehnika", "quota_per_s": 6.0},
                    {"fraction": 0.18, "name": "bolnica-sjever", "quota_per_s": 4.0},
                    {"fraction": 0.15, "name": "knjiznica-mreza", "quota_per_s": 3.0}],
        "tick_s": 0.005, "tier": 0, "tiers": ["live-updates"], "weights": "nominal", "worth_by": "request", "zone": 0,
        "zones": ["borongaj", "savska", "trnje", "maksimir"],
    }
    for path, value in changes.items():
        part = chosen
        keys = path.split("__")
        for key in keys[:-1]:
            part = part[key]
        part[keys[-1]] = value
    return chosen


class Balancer:
    """One balancer, started by `run` of the deploy file."""

    def __init__(self, record, discovery, chosen, known=None, name="n1", operator=False, listen=None, folder=None,
                 discovery_port=None):
        self.record, self.name = record, name
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.tmpdir = folder or os.path.join(self.folder, "t")
        os.makedirs(self.tmpdir, exist_ok=True)
        self.port = listen or free_port()
        self.config = {
            "name": name, "listen": f"{HOST}:{self.port}", "discovery": f"{HOST}:{discovery_port or discovery.port}",
            "seed": os.urandom(8).hex(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known or discovery.known(), "settings": chosen,
        }
        self.operator_port = free_port() if operator else None
        if operator:
            self.config["operator"] = f"{HOST}:{self.operator_port}"
        self.process = None

    def write_config(self):
        self.path = os.path.join(self.folder, "config.json")
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.replace(self.path + ".new", self.path)

    def spawn(self):
        self.write_config()
        env = {key: value for key, value in os.environ.items() if not key.startswith(("ROUTER_", "SHOREWHARF_"))}
        env.update(ROUTER_CONFIG=self.path, ROUTER_NAME=self.name, TMPDIR=self.tmpdir,
                   ROUTER_LISTEN=self.config["listen"], ROUTER_DISCOVERY=self.config["discovery"])
        self.log = open(os.path.join(self.folder, "log"), "wb")
        self.process = subprocess.Popen(["/bin/sh", "-c", deploy_command("run")], cwd=ROOT, env=env,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record.log(f"balancer {self.name} started, process {self.process.pid}")

    async def start(self, within=10.0):
        """Starts the process; it is ready once PING is answered with PONG."""
        self.spawn()
        end = time.monotonic() + within
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"PING\r\n")
                answer = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if answer == b"PONG\r\n":
                    self.record.log(f"balancer {self.name} answers PING with PONG")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        raise RuntimeError(f"the balancer is not ready: {self.log_text()}")

    def log_text(self):
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def signal(self, number):
        self.record.log(f"balancer {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def call(self, line):
        """One call at the operators' address."""
        reader, writer = await asyncio.open_connection(HOST, self.operator_port)
        writer.write(line.encode() + b"\n")
        answer = (await asyncio.wait_for(reader.read(), 3.0)).decode().strip()
        writer.close()
        self.record.log(f"operator: {line} -> {answer.splitlines()[0] if answer else ''}")
        return answer

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.process:
            text = self.log_text()
            for line in text.splitlines():
                self.record.log(f"log of {self.name}: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


IDS = iter(range(1, 1 << 30))


class Client:
    """One connection of a client: sends its first line and waits for the answer."""

    def __init__(self, record, port, chosen="c=ticket-stream,t=grad-uprava,d=3200", group=None, key=None, extra=""):
        number = next(IDS)
        self.record, self.port = record, port
        self.id = f"{0x9b1f03aa00000000 + number:016x}"
        self.key = key or f"{0x7f3a9c2100000000 + number:016x}"
        group = group or f"{0x5c0f6e1a00000000 + number:016x}"
        self.line = f"OPEN {self.id} {self.key} {chosen},g={group},h=0.1{extra}"
        self.answer = None

    async def open(self, within=4.5):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        self.sent_at = self.record.now()
        self.record.log(f"client {self.id} sends {self.line!r}")
        self.writer.write(self.line.encode() + b"\r\n")
        try:
            line = await asyncio.wait_for(self.reader.readline(), within)
            self.answer = line.decode().strip() if line.endswith(b"\r\n") else "closed without an answer"
        except ConnectionError:
            self.answer = "reset without an answer"
        except asyncio.TimeoutError:
            self.answer = "nothing"
        self.answered_at = self.record.now()
        self.record.log(f"client {self.id} got {self.answer!r} after {self.answered_at - self.sent_at:.3f} s")
        return self.answer

    @property
    def is_up(self):
        return self.answer is not None and self.answer.startswith("UP ")

    def close(self):
        if hasattr(self, "writer"):
            self.writer.close()

    async def talk(self, until, every=2.0):
        """Sends a line every 2 s, as clients do, until `until` returns true. Returns how the connection ended: `MOVE`,
        `BYE`, `cut off` or, if it did not end, `stands`."""
        how = "stands"
        try:
            while not until():
                self.writer.write(b"hello\r\n")
                try:
                    line = await asyncio.wait_for(self.reader.readline(), every)
                    if line.strip() in (b"MOVE", b"BYE"):
                        how = line.strip().decode()
                        break
                    if not line.endswith(b"\r\n"):
                        how = "cut off"
                        break
                    # Whatever comes before the next line is due shows at once.
                    line = await asyncio.wait_for(self.reader.readline(), every)
                    how = line.strip().decode() if line.strip() in (b"MOVE", b"BYE") else "cut off"
                    break
                except asyncio.TimeoutError:
                    pass
        except ConnectionError:
            how = "cut off"
        self.ended_at = self.record.now()
        self.record.log(f"client {self.id} ({self.answer}): {how}")
        self.close()
        return how


def run_case(case, limit=110.0):
    """Runs `case(record, has_trouble)`, which returns the broken rules as texts. Exits with 1 if there are any, 0 if there
    are none, and 2 if the case could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "record.txt"))
    record.log(f"TROUBLE={int(has_trouble)}")

    async def bounded():
        # What ends with the case, such as a connection of a stand-in, is no news.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await asyncio.wait_for(case(record, has_trouble), limit)

    def stop(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    try:
        broken = asyncio.run(bounded())
    except BaseException as error:  # Whatever it is, the case has not run.
        record.log(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in broken:
        record.log(f"BROKEN: {text}")
    print(f"TROUBLE={int(has_trouble)}: " + (f"broken {len(broken)} times; first: {broken[0]}" if broken else "held"))
    sys.exit(1 if broken else 0)
