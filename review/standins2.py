"""Stand-ins for the cases 6 to 10: servers, discovery, clients and the platform, on loopback addresses only.

They follow the users' pages PROTOCOL, DEPLOY, DAYS and STANDING. Where a page is silent they behave like a sound peer.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import sys
import tempfile
import time

HOST = "127.0.0.1"
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be carried out; says nothing about the rule."""


class Record:
    """What was sent, answered and run, with times in seconds since the start of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()
        self("trouble " + ("on" if TROUBLE else "off"))

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_port():
    import socket
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Server:
    """A sound server: accepts each OPEN with `UP RECEIPT`, answers each later line at once, and answers probes. While it
    drains it turns new requests away with `BUSY`."""

    def __init__(self, record, name, zone="a", group=0):
        self.record, self.name, self.zone, self.group = record, name, zone, group
        self.status, self.since_ms = "Ready", 0
        self.opens = []  # (time, id, line)
        self.ended = []  # (time, id, how)
        self.writers, self.up = set(), set()
        self.listener = None
        self.port = None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, HOST, self.port or 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    def entry(self):
        return {"name": self.name, "address": f"{HOST}:{self.port}", "zone": self.zone, "type": "m1",
                "group": self.group, "status": self.status, "weight": 1.0, "since_ms": self.since_ms}

    async def on_open(self, ident, line, reader, writer):
        """Answers a request; may be replaced by a case. Returns whether the connection is up."""
        if self.status != "Ready":
            writer.write(b"BUSY\r\n")
            return False
        writer.write(f"UP {self.name}-{ident}\r\n".encode())
        return True

    async def send_away(self, pause):
        """Sends all clients away, as a draining server does, with a pause between two of them."""
        for writer in list(self.up):
            writer.write(b"MOVE\r\n")
            writer.close()
            self.up.discard(writer)
            if pause:
                await asyncio.sleep(pause)

    def on_line(self, ident, line):
        """The reply to a line of an open connection."""
        return b"OK " + line + b"\r\n"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        ident, how = None, "closed"
        try:
            while True:
                raw = await reader.readline()
                if not raw.endswith(b"\r\n"):
                    break
                line = raw[:-2]
                if ident is None and line == b"PING":
                    writer.write(b"PONG\r\n")
                elif ident is None:
                    words = line.decode("utf-8", "replace").split(" ")
                    if words[0] != "OPEN" or len(words) != 4:
                        writer.write(b"SYNTAX\r\n")
                        break
                    ident = words[1]
                    self.opens.append((self.record.now(), ident, line.decode()))
                    self.record(f"server {self.name} got {line.decode()}")
                    if not await self.on_open(ident, line, reader, writer):
                        break
                    self.up.add(writer)
                else:
                    writer.write(self.on_line(ident, line))
        except (ConnectionError, asyncio.IncompleteReadError):
            how = "reset"
        finally:
            self.writers.discard(writer)
            self.up.discard(writer)
            if ident is not None:
                self.ended.append((self.record.now(), ident, how))
                self.record(f"server {self.name} connection {ident} {how}")
            writer.close()

    def stop(self):
        if self.listener:
            self.listener.close()
        for writer in list(self.writers):
            writer.close()


class Discovery:
    """Discovery as PROTOCOL describes it: the whole list, and a watch with one JSON object per line."""

    def __init__(self, record, servers, index=41):
        self.record, self.servers, self.index = record, servers, index
        self.changes = []  # (index, entry)
        self.watches = set()
        self.watches_opened = 0
        self.dump = json.dumps
        self.wait = 0.0  # how long a call waits in turn before it is answered
        self.port = None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    def whole(self):
        return {"index": self.index, "snapshot": True, "endpoints": [s.entry() for s in self.servers]}

    def change(self, server, status):
        """Changes a server's status and tells all watches. Returns when it was written."""
        server.status = status
        self.index += 1
        self.changes.append((self.index, server.entry()))
        told = self.record.now()
        for writer in list(self.watches):
            self.send(writer, {"index": self.index, "snapshot": False, "endpoints": [server.entry()]})
        self.record(f"discovery lists {server.name} as {status}, told to {len(self.watches)} watches")
        return told

    def send(self, writer, value):
        self.send_text(writer, "" if value is None else self.dump(value))

    def send_text(self, writer, text):
        body = (text + "\n").encode()
        try:
            writer.write(b"%x\r\n%s\r\n" % (len(body), body))
        except ConnectionError:
            self.watches.discard(writer)

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ")[1]
            self.record(f"discovery was asked for {target}")
            if self.wait:
                await asyncio.sleep(self.wait)
                if reader.at_eof():
                    self.record("discovery: the caller gave up before its turn")
                    return
            if "follow=1" not in target:
                body = self.dump(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (len(body), body))
                await writer.drain()
                return
            self.watches_opened += 1
            since = int(re.search(r"since=(\d+)", target).group(1))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                         b"Transfer-Encoding: chunked\r\n\r\n")
            oldest = self.changes[0][0] - 1 if self.changes else self.index
            if since < oldest:
                self.send(writer, self.whole())
            else:
                newer = [entry for index, entry in self.changes if index > since]
                self.send(writer, {"index": self.index, "snapshot": False, "endpoints": newer} if newer else None)
            self.watches.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                if reader.at_eof():
                    break
                self.send(writer, None)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    def stop(self):
        self.listener.close()
        for writer in list(self.watches):
            writer.close()


def run_command():
    """The command `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as deploy:
        found = re.search(r'^run\s*=\s*"(.*?)"', deploy.read(), re.M)
    if not found:
        raise CannotRun("the deploy file has no command `run`")
    return found.group(1)


def settings(**changes):
    """Settings like those of a small deployment: the example of the wire page, with one balancer."""
    value = {
        "classes": [{"give_up_s": 3.2, "group": "all", "late_worth": 0.0, "name": "stream", "promise_s": 0.8,
                     "semantics": "read_like", "streamed": True, "window_s": 5.0, "worth": 1.0}],
        "clients": {"marks_retry": False}, "family": "conn", "flavors": ["fast-4", "m1", "slow-4"],
        "goal": {"whole": 0.8, "worst_class": 0.0, "worst_tenant": 0.1, "worst_window": 0.1}, "group_size": 1,
        "limits": {"cancel": True, "connect_timeout_s": 0.15, "cpu_us_per_request": 0.0, "cpu_us_per_s": 15000,
                   "idle_close_s": 5.0, "max_attempts": 5, "max_open": 1000000, "max_retry_after_s": 1.5,
                   "max_streams": 1048576, "may_probe": True, "may_tell": False, "retry_after": True,
                   "second_copies": False},
        "load_info": {"columns": [], "source": "off"}, "me": 0, "over_share_worth": 0.1, "registry_mode": "ask",
        "rules": {"answer_slack_s": 0.02, "ask_within_s": 10.0, "drain_grace_s": 1.0, "fall_multiple": 3.0,
                  "overload_for_s": 1.5, "start_capacity": 0.13, "warm_within_s": 22.0},
        "specifics": {"groups": True, "hint": "", "message_aim_s": [0.05], "mode": "proxy", "notes": "",
                      "park_s": 0.0, "report_x0": "", "report_x1": "", "tells_delay": False, "tells_load": False,
                      "tenant_quota_connections": [146.0, 111.0]},
        "tariffs": {"connection": 0.03, "cross_zone": 0.03, "handshake": 0.03, "late_fail": 0.03, "moves": 0.01,
                    "origin": 0.0, "peer": 0.0, "probe": 0.002, "registry_mode": 0.0, "waste": 0.05},
        "tenants": [{"fraction": 0.57, "name": "desk-a", "quota_per_s": 8.0},
                    {"fraction": 0.43, "name": "desk-b", "quota_per_s": 6.0}],
        "tick_s": 0.005, "tier": 0, "tiers": ["nodes"], "weights": "nominal", "worth_by": "request", "zone": 0,
        "zones": ["a", "b"],
    }
    value.update(changes)
    return value


def other_site(**changes):
    """Settings with the figures of the other customer's deployment: its grace for drains, its limits and its deadlines."""
    value = settings()
    value["classes"][0].update(give_up_s=1.2, promise_s=0.3)
    value["limits"].update(connect_timeout_s=0.25, max_attempts=6, retry_after=False)
    value["rules"].update(drain_grace_s=0.3, overload_for_s=3.0)
    value["tick_s"] = 0.004
    value.update(changes)
    return value


class Balancer:
    """One process of the balancer, started with the command of the deploy file."""

    def __init__(self, case, label, config, tmpdir):
        self.case, self.label, self.tmpdir = case, label, tmpdir
        self.path = os.path.join(case.folder, f"{label}.json")
        self.log = os.path.join(case.folder, f"{label}.log")
        self.write(config)

    def write(self, config):
        self.config = config
        with open(self.path + ".new", "w", encoding="utf-8") as out:
            json.dump(config, out)
        os.replace(self.path + ".new", self.path)

    async def start(self):
        config = self.config
        env = {key: value for key, value in os.environ.items() if not key.startswith(("ROUTER_", "SHOREWHARF_"))}
        env.update(ROUTER_NAME=config["name"], ROUTER_LISTEN=config["listen"], ROUTER_DISCOVERY=config["discovery"],
                   ROUTER_CONFIG=self.path, TMPDIR=self.tmpdir)
        if "operator" in config:
            env["ROUTER_OPERATOR"] = config["operator"]
        with open(self.log, "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run_command(), cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log,
                stderr=log)
        self.case.processes.append(self.process)
        self.case.record(f"platform starts {self.label}")

    async def ready(self, limit=10.0):
        """Waits until the process answers PING, as the front does."""
        host, port = self.config["listen"].split(":")
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRun(f"{self.label} exited with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if line == b"PONG\r\n":
                    self.case.record(f"{self.label} answers PING")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun(f"{self.label} was not ready within {limit} s")

    def signal(self, number):
        self.case.record(f"platform sends {signal.Signals(number).name} to {self.label}")
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def call(self, command, limit=1.0):
        """A call at the operators' door. Returns the lines of the answer."""
        host, port = self.config["operator"].split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(command.encode() + b"\r\n")
            text = (await asyncio.wait_for(reader.read(), limit)).decode()
            writer.close()
        except (OSError, asyncio.TimeoutError):
            text = ""
        return text.splitlines()


class Client:
    """A client: one OPEN, then a line every 2 s while the connection is up."""

    count = 0

    def __init__(self, case, address, ident=None, wait=3.2, period=2.0, extra=""):
        Client.count += 1
        self.case, self.address, self.wait, self.period, self.extra = case, address, wait, period, extra
        self.ident = ident or f"{random.getrandbits(63) | 1 << 63:016x}"
        self.key = f"{random.getrandbits(63) | 1 << 63:016x}"
        self.answer = None   # the first line, or "" for a close without one, or None
        self.answered_at = None
        self.sent_at = None
        self.moved_at = None
        self.ended_at = None
        self.lines = []

    @property
    def up(self):
        return self.answer is not None and (self.answer == "UP" or self.answer.startswith("UP "))

    async def connect(self):
        host, port = self.address.split(":")
        try:
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
        except OSError as error:
            self.case.record(f"client {self.ident} could not connect: {error}")
            return False
        self.case.clients.append(self)
        return True

    def line(self):
        return (f"OPEN {self.ident} {self.key} c=stream,t=desk-a,d={int(self.wait * 1000)},"
                f"g={self.key}{self.extra}\r\n").encode()

    async def open(self):
        """Sends the request and waits for the answer, half a second longer than `d`."""
        if not await self.connect():
            return False
        self.writer.write(self.line())
        self.sent_at = self.case.record.now()
        self.case.record(f"client {self.ident} sent its OPEN")
        await self.read_answer(self.wait + 0.5)
        return self.up

    async def read_answer(self, limit):
        try:
            raw = await asyncio.wait_for(self.reader.readline(), limit)
            self.answer = raw.decode().rstrip("\r\n") if raw.endswith(b"\n") else ""
        except ConnectionError:
            self.answer = ""
        except asyncio.TimeoutError:
            self.answer = None
        self.answered_at = self.case.record.now()
        self.case.record(f"client {self.ident} was answered {self.answer!r}")

    async def live(self, until):
        """Sends a line every period until the connection ends or the time is up."""
        async def talk():
            number = 0
            while True:
                number += 1
                self.writer.write(f"M {number}\r\n".encode())
                await asyncio.sleep(self.period)

        talking = asyncio.ensure_future(talk())
        try:
            while True:
                left = until - self.case.record.now()
                if left <= 0:
                    return
                raw = await asyncio.wait_for(self.reader.readline(), left)
                if raw == b"MOVE\r\n":
                    self.moved_at = self.case.record.now()
                    self.case.record(f"client {self.ident} is moved")
                elif not raw.endswith(b"\n"):
                    break
                else:
                    self.lines.append((self.case.record.now(), raw[:-2].decode()))
        except asyncio.TimeoutError:
            return
        except ConnectionError:
            pass
        finally:
            talking.cancel()
        self.ended_at = self.case.record.now()
        self.case.record(f"client {self.ident} connection ended, moved: {self.moved_at is not None}")

    def close(self):
        if hasattr(self, "writer"):
            self.writer.close()


class Case:
    """The frame of a case: temporary folder, record, processes and the exit code."""

    def __init__(self, file):
        self.home = os.path.dirname(os.path.abspath(file))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(self.home)
        self.processes, self.peers = [], []
        self.tasks, self.clients = [], []

    def tmpdir(self, name="tmp"):
        path = os.path.join(self.folder, name)
        os.makedirs(path, exist_ok=True)
        return path

    def config(self, discovery, known, operator=None, **changes):
        value = {"name": "n0", "listen": f"{HOST}:{free_port()}", "discovery": f"{HOST}:{discovery.port}",
                 "seed": f"{random.getrandbits(64):016x}",
                 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                 "known": known, "settings": settings(**changes)}
        if operator:
            value["operator"] = operator
        return value

    async def finish(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for client in self.clients:
            client.close()
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        for peer in self.peers:
            peer.stop()
        await asyncio.sleep(0.1)
        if os.environ.get("CASE_KEEP"):
            self.record(f"kept {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def crashed(self, allowed=()):
        """Processes that ended although nobody ended them."""
        return [p for p in self.processes if p.returncode is not None and p not in allowed]


def main(file, body, limit=110):
    """Runs `body(case)`, which returns a list of breaches, and exits with the code of the verdict."""
    async def run():
        case = Case(file)
        work = asyncio.ensure_future(body(case))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, work.cancel)
        try:
            breaches = await asyncio.wait_for(work, limit)
            code = BROKEN if breaches else HELD
        except CannotRun as error:
            breaches, code = [f"could not run: {error}"], NOT_RUN
        except asyncio.TimeoutError:
            breaches, code = ["could not run: out of time"], NOT_RUN
        except asyncio.CancelledError:
            breaches, code = ["could not run: told to end"], NOT_RUN
        except Exception as error:  # a fault of the case itself says nothing about the rule
            breaches, code = [f"could not run: {error!r}"], NOT_RUN
        finally:
            await case.finish()
        verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[code]
        for text in breaches:
            case.record(text)
        case.record(verdict)
        print(f"{verdict}" + (f": {breaches[0]}" if breaches else ""))
        return code

    sys.exit(asyncio.run(run()))
