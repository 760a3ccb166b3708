"""Stand-ins for the scripts of the third review, and a small deployment of limpetplank.

Everything runs on loopback addresses in real time. The processes of the system are started
with the commands and the settings template of the deploy file. Servers, clients, the routers
and the operator are stand-ins that follow PROTOCOL.md. Only the standard library is used.
"""

import asyncio
import heapq
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SYN, ACK, FIN, RST, BOUNCED = 32, 4, 16, 128, 1
HEAD = struct.Struct(">IIIIHH4s4sHB3s")
KEY = b"review-3"

# The bounds of the site that the cases name (beji-pwani and bbvg-sofia have the same).
BOUNDS = {
    "seed-lag-s": 3, "addr-reuse-s": 2, "stable-window-ms": 4000, "ack-ms": 5000,
    "catch-up-s": 4, "drain-ms": 3000, "grace-s": 6, "loss-slack-ms": 200,
    "config-apply-ms": 3000, "back-ms": 250, "max-stretch-ms": 12000, "recovery-s": 12,
    "reorder-ms": 2000, "max-flow-s": 60,
}
LARGE_BOUNDS = {**BOUNDS, "stable-window-ms": 6000, "ack-ms": 8000, "catch-up-s": 6, "drain-ms": 5000,
                "config-apply-ms": 5000, "max-stretch-ms": 20000, "recovery-s": 15}
HEARTBEAT_MS = 1200
SITES = {
    "beji-pwani": ("dar", ("dar-kati", "dar-kaskazi", "dar-kusini")),
    "bbvg-sofia": ("bg-central", ("plovdiv-a", "sofia-b", "kazanlak-c")),
    "bbvg-sofia-large": ("bg-central", ("plovdiv-a", "sofia-b", "kazanlak-c")),
}


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


class Packet:
    """A packet of a flow. `sum` is keyed; only clients and servers know the key."""

    __slots__ = ("seq", "ack", "sum", "echo", "sport", "dport", "src", "dst", "flags", "pad", "data")

    def __init__(self, seq, ack, sport, dport, src, dst, flags, data=b""):
        self.seq, self.ack, self.sport, self.dport = seq, ack, sport, dport
        self.src, self.dst, self.flags, self.data = src, dst, flags, data
        self.echo, self.pad, self.sum = 0, b"\0\0\0", 0

    def keyed_sum(self):
        fields = struct.pack(">IIHH4s4sHB", self.seq, self.ack, self.sport, self.dport,
                             socket.inet_aton(self.src), socket.inet_aton(self.dst),
                             len(self.data), self.flags & ~BOUNCED)
        return zlib.crc32(KEY + fields + self.data) | 1

    def encode(self):
        return HEAD.pack(self.seq, self.ack, self.sum, self.echo, self.sport, self.dport,
                         socket.inet_aton(self.src), socket.inet_aton(self.dst),
                         len(self.data), self.flags, self.pad) + self.data

    def signed(self):
        self.sum = self.keyed_sum()
        return self.encode()

    @staticmethod
    def decode(raw):
        if len(raw) < HEAD.size:
            return None
        seq, ack, total, echo, sport, dport, src, dst, length, flags, pad = HEAD.unpack_from(raw)
        packet = Packet(seq, ack, sport, dport, socket.inet_ntoa(src), socket.inet_ntoa(dst), flags,
                        raw[HEAD.size:HEAD.size + length])
        packet.sum, packet.echo, packet.pad = total, echo, pad
        return packet

    def is_true(self):
        return self.sum == self.keyed_sum()


class Record:
    """Everything that was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def note(self, what):
        self.file.write(f"{self.now():8.3f} {what}\n")

    def close(self):
        self.file.close()


class Udp(asyncio.DatagramProtocol):
    def __init__(self, handle):
        self.handle = handle

    def datagram_received(self, data, addr):
        self.handle(data)


async def open_udp(address, handle):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: Udp(handle), local_addr=address)
    return transport


async def http(address, method, path, body=b"", timeout=1.0):
    """One HTTP call on a new connection. Returns (status, body), or None without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            head = (f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                    "Connection: close\r\n\r\n")
            writer.write(head.encode() + body)
            await writer.drain()
            raw = await reader.read()
        finally:
            writer.close()
        head, _, rest = raw.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        status = int(lines[0].split()[1])
        location = next((l.split(":", 1)[1].strip() for l in lines if l.lower().startswith("location:")), None)
        return status, rest, location

    try:
        status, rest, location = await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return None
    if status == 307 and location:
        match = re.match(r"http://([0-9.]+):(\d+)(/.*)", location)
        if match:
            return await http((match[1], int(match[2])), method, match[3], body, timeout)
    return status, rest


class Server:
    """A server as PROTOCOL.md describes it, beside an agent."""

    def __init__(self, site, name, service, machine, concurrency=7, work_s=0.02, queue=28):
        self.site, self.name, self.service, self.machine = site, name, service, machine
        self.concurrency, self.work_s, self.queue = concurrency, work_s, queue
        self.app = (machine.ip, site.ports["app"])
        self.outbound = (machine.ip, site.ports["outbound"])
        self.control = (machine.ip, site.ports["control"])
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.flows = {}
        self.busy = 0
        self.waiting = []
        self.transport = None
        self.http = None
        self.beats = None
        self.acked = {}          # state -> time of its first confirmation
        self.beat_log = []

    async def start(self):
        self.transport = await open_udp(self.app, self.receive)
        self.http = await asyncio.start_server(self.health, *self.app)
        self.beats = asyncio.create_task(self.beat_forever())

    async def health(self, reader, writer):
        try:
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
            await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    def announcement(self):
        self.sequence += 1
        return {"service": self.service, "address": "%s:%d" % self.app, "zone": self.machine.zone,
                "version": "v1", "concurrency": self.concurrency, "state": self.state,
                "cold-remaining-ms": 0, "sequence": self.sequence - 1, "born": self.born}

    async def beat(self):
        said = self.announcement()
        answer = await http(self.control, "PUT", f"/api/instances/{self.name}", json.dumps(said).encode())
        status = answer[0] if answer else None
        self.beat_log.append((self.site.record.now(), said["state"], status))
        self.site.record.note(f"server {self.name} ({self.service}) says {said['state']}, sequence "
                              f"{said['sequence']}: {status}")
        if status is not None and 200 <= status < 300 and said["state"] not in self.acked:
            self.acked[said["state"]] = self.site.record.now()
        return status

    async def beat_forever(self):
        while True:
            status = await self.beat()
            # Without an answer the next node is called; beside an agent that is the same one.
            await asyncio.sleep(HEARTBEAT_MS / 1000 if status == 200 else 0.3)

    async def say_draining(self):
        """Says at once that it leaves, then goes on with its beats."""
        self.state = "draining"
        return await self.beat()

    def send(self, packet):
        self.transport.sendto(packet.signed(), self.outbound)

    def reply(self, flow, flags, data=b""):
        packet = Packet(flow["next"], flow["want"], flow["dport"], flow["sport"], flow["dst"],
                        flow["src"], flags | ACK, data)
        self.send(packet)

    def receive(self, raw):
        packet = Packet.decode(raw)
        if packet is None or not packet.is_true():
            self.site.unasked.append((self.site.record.now(), self.name))
            self.site.record.note(f"server {self.name}: a packet that no client wrote so")
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None or flow["isn_client"] != packet.seq:
                flow = {"src": packet.src, "sport": packet.sport, "dst": packet.dst,
                        "dport": packet.dport, "isn_client": packet.seq,
                        "isn": random.getrandbits(32), "want": (packet.seq + 1) & 0xffffffff,
                        "open": False, "request": b"", "done": False, "answer": None, "copy": packet.ack}
                flow["next"] = (flow["isn"] + 1) & 0xffffffff
                self.flows[key] = flow
                self.site.taken(self, key, packet.ack)
            answer = Packet(flow["isn"], flow["want"], packet.dport, packet.sport, packet.dst,
                            packet.src, SYN | ACK)
            self.send(answer)
            return
        sent_by_us = flow and (packet.ack - flow["isn"]) & 0xffffffff <= 1 + len(flow["answer"] or b"") + 1
        if flow is None or not sent_by_us:
            packet.flags |= BOUNCED
            self.transport.sendto(packet.encode(), self.outbound)
            return
        if packet.flags & RST:
            del self.flows[key]
            return
        if not flow["open"]:
            flow["open"] = True
            self.site.opened(self, key)
        if packet.flags & FIN:
            self.reply(flow, 0)
            flow["ended"] = True
            return
        if not packet.data:
            return
        if packet.seq == flow["want"]:
            flow["request"] += packet.data
            flow["want"] = (flow["want"] + len(packet.data)) & 0xffffffff
        if flow["answer"] is not None:
            self.answer(key, flow)
            return
        self.reply(flow, 0)
        if b"\r\n\r\n" in flow["request"] and not flow["done"]:
            flow["done"] = True
            if self.busy < self.concurrency:
                asyncio.get_running_loop().create_task(self.work(key, flow))
            else:
                self.waiting.append((key, flow))

    async def work(self, key, flow):
        self.busy += 1
        request_id = re.search(rb"X-Request-Id: (\S+)", flow["request"])
        request_id = request_id[1].decode() if request_id else "?"
        self.site.ran(self, key, request_id)
        await asyncio.sleep(self.work_s)
        body = f"{self.service} {self.name} {request_id}".encode()
        flow["answer"] = (b"HTTP/1.1 200 OK\r\nX-Server-Signature: %08x\r\nContent-Length: %d\r\n\r\n"
                          % (zlib.crc32(KEY + body), len(body))) + body
        self.answer(key, flow)
        self.busy -= 1
        if self.waiting and self.busy < self.concurrency:
            key, flow = self.waiting.pop(0)
            asyncio.get_running_loop().create_task(self.work(key, flow))

    def answer(self, key, flow):
        packet = Packet((flow["isn"] + 1) & 0xffffffff, flow["want"], flow["dport"], flow["sport"],
                        flow["dst"], flow["src"], ACK, flow["answer"])
        self.send(packet)

    async def stop(self):
        if self.beats:
            self.beats.cancel()
        if self.http:
            self.http.close()
        if self.transport:
            self.transport.close()


class Client:
    """The clients of one address. Each request uses a flow of its own."""

    COPIES = (0.0, 0.2, 0.6)
    OPEN_TIMEOUT = 1.4
    RESEND = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6)

    def __init__(self, site, ip):
        self.site, self.ip = site, ip
        self.flows = {}
        self.port = 20000
        self.transport = None

    async def start(self):
        self.transport = await open_udp((self.ip, self.site.ports["datagram"]), self.receive)

    def receive(self, raw):
        packet = Packet.decode(raw)
        flow = packet and self.flows.get(packet.dport)
        if flow:
            flow["inbox"].put_nowait(packet)

    async def request(self, edge, route, request_id, budget=3.0):
        """One attempt through the balancer of `edge`. Returns the flow with its outcome."""
        self.port += 1
        sport = self.port
        host, port = route
        flow = {"id": request_id, "key": (self.ip, sport, host, port), "edge": edge.name,
                "inbox": asyncio.Queue(), "sent": [], "outcome": None, "body": None}
        self.flows[sport] = flow
        self.site.client_flows[flow["key"]] = flow
        isn = random.getrandbits(32)
        start = time.monotonic()

        def send(packet):
            self.transport.sendto(packet.signed(), (edge.ip, self.site.ports["datagram"]))

        async def until(deadline):
            left = deadline - time.monotonic()
            if left <= 0:
                return None
            try:
                return await asyncio.wait_for(flow["inbox"].get(), left)
            except asyncio.TimeoutError:
                return None

        opened = None
        for copy, delay in enumerate(self.COPIES):
            send(Packet(isn, copy, sport, port, self.ip, host, SYN))
            flow["sent"].append(self.site.record.now())
            self.site.record.note(f"client {self.ip}:{sport} request {request_id}: opening copy {copy} by way of {edge.name}")
            last = copy + 1 == len(self.COPIES)
            deadline = start + (self.OPEN_TIMEOUT if last else self.COPIES[copy + 1])
            while (packet := await until(deadline)) is not None:
                if packet.flags & RST:
                    flow["outcome"] = "reset before it opened"
                    break
                if packet.flags & SYN and packet.flags & ACK:
                    opened = packet
                    break
            if opened or flow["outcome"]:
                break
        if not opened:
            flow["outcome"] = flow["outcome"] or "no answer to the opening"
            self.site.record.note(f"client request {request_id}: {flow['outcome']}")
            return flow
        mine, theirs = (isn + 1) & 0xffffffff, (opened.seq + 1) & 0xffffffff
        data = (f"POST / HTTP/1.1\r\nHost: x\r\nX-Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n").encode()
        got = b""
        tries = 0
        while flow["outcome"] is None:
            send(Packet(mine, theirs, sport, port, self.ip, host, ACK, data))
            wait = self.RESEND[min(tries, len(self.RESEND) - 1)]
            tries += 1
            deadline = min(time.monotonic() + wait, start + budget)
            while (packet := await until(deadline)) is not None:
                if packet.flags & RST and packet.sum == 0:
                    flow["outcome"] = "reset by the system"
                    break
                if packet.data:
                    got = packet.data
                    flow["outcome"] = "answered"
                    flow["body"] = got.partition(b"\r\n\r\n")[2].decode()
                    break
            if time.monotonic() >= start + budget and flow["outcome"] is None:
                flow["outcome"] = "no answer within the time budget"
        if flow["outcome"] == "answered":
            mine = (mine + len(data)) & 0xffffffff
            theirs = (theirs + len(got)) & 0xffffffff
            send(Packet(mine, theirs, sport, port, self.ip, host, ACK | FIN))
        self.site.record.note(f"client request {request_id}: {flow['outcome']} {flow['body'] or ''}")
        return flow


class Machine:
    def __init__(self, name, ip, zone, kind, data_dir=None, service=None):
        self.name, self.ip, self.zone, self.kind = name, ip, zone, kind
        self.data_dir, self.service = data_dir, service
        self.roles = ("balancer", "control") if kind == "edge" else ("agent",)
        self.processes = {}


class Site:
    """Three edge machines with a disk in three zones, and machines with a server each."""

    def __init__(self, record_path, services, diskless=0, site="beji-pwani"):
        """`services` lists the service of each side machine. The first `diskless` zones have
        a second edge machine, without a disk."""
        self.region, self.ZONES = SITES[site]
        self.bounds = LARGE_BOUNDS if site == "bbvg-sofia-large" else BOUNDS
        self.record = Record(record_path)
        self.dir = tempfile.mkdtemp(prefix="limpet-review-3-")
        self.base = None
        self.edges, self.sides, self.servers, self.clients = [], [], [], []
        self.takes, self.runs, self.opens, self.unasked = [], [], [], []
        self.client_flows = {}
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self.choose_addresses(len(services))
        for n, zone in enumerate(self.ZONES):
            name = f"edge-{zone}-1"
            data_dir = os.path.join(self.dir, "data", name)
            os.makedirs(data_dir)
            self.edges.append(Machine(name, f"{self.base}.1.{n + 1}", zone, "edge", data_dir))
        for n, zone in enumerate(self.ZONES[:diskless]):
            self.edges.append(Machine(f"edge-{zone}-2", f"{self.base}.1.{n + 4}", zone, "edge"))
        self.seed_machines = self.edges[:3]
        for n, service in enumerate(services):
            zone = self.ZONES[n % len(self.ZONES)]
            self.sides.append(Machine(f"side-{zone}-{n + 1}", f"{self.base}.2.{n + 1}", zone, "side", None, service))

    def add_edge(self, zone):
        """A machine that is added later, at a new address and with an empty disk."""
        name = f"edge-{zone}-{len(self.edges) + 1}"
        data_dir = os.path.join(self.dir, "data", name)
        os.makedirs(data_dir)
        machine = Machine(name, f"{self.base}.1.{len(self.edges) + 1}", zone, "edge", data_dir)
        self.edges.append(machine)
        return machine

    def choose_addresses(self, sides):
        """A part of the loopback network in which all needed ports are free."""
        for _ in range(50):
            self.base = f"127.{random.randint(20, 250)}"
            first = random.randint(12000, 28000)
            self.ports = {"datagram": first, "ready": first + 1, "control": first + 2,
                          "outbound": first + 3, "app": first + 4, "first": first + 10, "last": first + 25}
            hosts = [f"{self.base}.1.{n}" for n in range(1, 7)] + [f"{self.base}.2.{n}" for n in range(1, sides + 1)]
            if all(self.is_free(host, port) for host in hosts
                   for port in [*range(first, first + 26), 9401, 9402, 9403]):
                return
        raise CannotRun("no free addresses")

    @staticmethod
    def is_free(host, port):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as sock:
                try:
                    sock.bind((host, port))
                except OSError:
                    return False
        return True

    def seeds(self):
        return ["%s:%d" % (edge.ip, self.ports["control"]) for edge in self.seed_machines]

    def fields(self, machine, role, bootstrap):
        """What the platform fills the settings template from (DEPLOY.md)."""
        address = lambda port: "%s:%d" % (machine.ip, self.ports[port])
        if role == "balancer":
            listen = {"datagram-addr": address("datagram"), "ready": address("ready")}
        elif role == "control":
            listen = {"control": address("control")}
        else:
            listen = {"datagram-addr": address("datagram"), "ready": address("ready"),
                      "outbound": address("outbound"), "control": address("control")}
        fields = {
            "node-name": machine.name, "role": role, "machine-class": machine.kind, "ip": machine.ip,
            "zone": machine.zone, "region": self.region, "zones": {zone: self.region for zone in self.ZONES},
            "listen-addrs": listen, "internal-ports": [self.ports["first"], self.ports["last"]],
            "seeds": self.seeds(), "bootstrap": bootstrap,
            "limits": {"cpu-share": 1.0, "link-mbps": 1000.0, "memory-mb": 260},
            "fault-tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": self.bounds, "heartbeat-ms": HEARTBEAT_MS,
        }
        if role == "control" and machine.data_dir:
            fields["data-dir"] = machine.data_dir
        if role == "agent":
            fields["app"] = address("app")
            fields["service"] = machine.service
        return fields

    def write_settings(self, machine, role, bootstrap):
        fields = self.fields(machine, role, bootstrap)
        with open(os.path.join(ROOT, self.deploy["roles"][role]["template"])) as file:
            template = file.read()

        def fill(match):
            name, _, form = match[1].partition("|")
            value = fields
            for part in name.split("."):
                if isinstance(value, list):
                    value = value[int(part)]
                else:
                    value = value.get(part) if isinstance(value, dict) else None
            if form == "json":
                return json.dumps(value)
            return "" if value is None else str(value)

        path = os.path.join(self.dir, f"{machine.name}-{role}.json")
        with open(path, "w") as file:
            file.write(re.sub(r"\{\{([^}]+)\}\}", fill, template))
        return path

    def start_process(self, machine, role, bootstrap=False):
        settings = self.write_settings(machine, role, bootstrap)
        words = self.deploy["roles"][role]["run"].split()
        program = os.path.join(ROOT, words[0])
        if not os.access(program, os.X_OK):
            raise CannotRun(f"{words[0]} is not built")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["LIMPETPLANK_NODE_FILE"] = settings
        log = open(os.path.join(self.dir, f"{machine.name}-{role}.log"), "a")
        process = subprocess.Popen([program, *words[1:]], cwd=ROOT, env=env, stdout=log, stderr=log,
                                   stdin=subprocess.DEVNULL)
        machine.processes[role] = process
        self.record.note(f"started {role} on {machine.name}, pid {process.pid}")
        return process

    async def start(self, servers, last=None):
        """Starts the side machines with their servers, then the edge machines, `last` after the
        others. `servers` holds the options of each server."""
        for side, options in zip(self.sides, servers):
            self.start_process(side, "agent", bootstrap=True)
            options = dict(options)
            server = Server(self, options.pop("name", f"i-{side.name}"), side.service, side, **options)
            await server.start()
            self.servers.append(server)
        for edge in sorted(self.edges, key=lambda edge: edge is last):
            for role in edge.roles:
                self.start_process(edge, role, bootstrap=True)

    async def client(self, n):
        client = Client(self, f"{self.base}.3.{n}")
        await client.start()
        self.clients.append(client)
        return client

    def control(self, n):
        return (self.edges[n % len(self.edges)].ip, self.ports["control"])

    async def put_config(self, document, timeout_s=15.0, first=0):
        """Sends a desired state until it has a clear answer, beginning with the edge machine
        `first`. Returns (status, time)."""
        body = json.dumps(document).encode()
        end = time.monotonic() + timeout_s
        n = first
        while time.monotonic() < end:
            answer = await http(self.control(n), "PUT", "/api/config", body)
            status = answer[0] if answer else None
            self.record.note(f"operator sends version {document['version']} to {self.edges[n % len(self.edges)].name}: {status}")
            if status is not None and status < 500 and status not in (408, 429):
                return status, self.record.now()
            n += 1
            await asyncio.sleep(0.2)
        return None, self.record.now()

    async def get_config(self, n=0):
        return await http(self.control(n), "GET", "/api/config")

    async def get_config_at(self, machine):
        return await http((machine.ip, self.ports["control"]), "GET", "/api/config")

    async def is_ready(self, edge):
        answer = await http((edge.ip, self.ports["ready"]), "GET", "/api/readyz", timeout=0.5)
        return answer is not None and answer[0] == 200

    async def wait_ready(self, edges=None, timeout_s=20.0):
        end = time.monotonic() + timeout_s
        edges = edges or self.edges
        while time.monotonic() < end:
            states = [await self.is_ready(edge) for edge in edges]
            if all(states):
                self.record.note("all balancers are ready")
                return True
            await asyncio.sleep(0.1)
        return False

    # What the servers see.
    def taken(self, server, key, copy):
        self.takes.append((self.record.now(), server, key, copy))
        self.record.note(f"server {server.name} ({server.service}) took opening copy {copy} of {key[0]}:{key[1]}")

    def opened(self, server, key):
        self.opens.append((self.record.now(), server, key))
        self.record.note(f"server {server.name} ({server.service}): flow {key[0]}:{key[1]} is open")

    def ran(self, server, key, request_id):
        self.runs.append((self.record.now(), server, key, request_id))
        self.record.note(f"server {server.name} ({server.service}) runs request {request_id} of {key[0]}:{key[1]}")

    def processes(self):
        return [p for m in [*self.edges, *self.sides] for p in m.processes.values()]

    async def stop(self):
        for server in self.servers:
            await server.stop()
        for client in self.clients:
            client.transport.close()
        for process in self.processes():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes():
            process.wait()
        self.record.close()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.dir, ignore_errors=True)


def document(version, routes, services, target_ms=600, timeout_ms=3000, name="r"):
    """A desired state. `routes` maps (host, port) to a service."""
    return {
        "version": version,
        "routes": [
            {"name": f"{name}-{n}", "host": host, "path-prefix": f"/{port}/", "type": "unsafe",
             "timeout-ms": timeout_ms, "target-latency-ms": target_ms, "priority": 1, "service": service,
             "max-attempts": 2}
            for n, ((host, port), service) in enumerate(routes.items())
        ],
        "services": [{"name": name, "health-path": "/health", "max-connections": 2000,
                      "protocol": "h1", "tls": False} for name in services],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000},
    }


def main(play, record_path, services, kind=Site, **options):
    """Plays a case. `play(site)` returns the list of broken rules, as text."""

    async def run():
        site = kind(record_path, services, **options)
        try:
            return await asyncio.wait_for(play(site), 112)
        finally:
            site.record.note("end")
            await site.stop()

    try:
        broken = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError) as error:
        print(f"cannot run: {error!r}")
        raise SystemExit(2)
    for line in broken:
        print("BROKEN", line)
    with open(record_path, "a") as file:
        for line in broken:
            file.write(f"BROKEN {line}\n")
        file.write(f"result: {'broken' if broken else 'held'}\n")
    raise SystemExit(1 if broken else 0)
