"""A small site of real processes on loopback addresses, and its clients and operator."""

import http.client
import json
import os
import random
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time

from packet import ACK, RST, SYN, Packet, read

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
DATAGRAMS, READY, CONTROL, OUTBOUND, APP = 8172, 8167, 8166, 8162, 8165
COMMANDS = {
    "balancer": "target/release/limpet-node balancer --metrics-port 9401",
    "control": "target/release/limpet-node control --metrics-port 9402",
    "agent": "target/release/limpet-node agent --metrics-port 9403",
}


class CannotRun(Exception):
    """The case cannot run here; its script ends with 2."""


class Site:
    """Three edge machines with a control process and a balancer each, and side machines."""

    def __init__(self, record_path, services, slots=4, work_ms=20):
        self.dir = tempfile.TemporaryDirectory(prefix="case-")
        self.record_file = open(record_path, "w", buffering=1)
        self.children = {}
        self.started = set()
        self.net = self.free_net()
        self.edges = [f"{self.net}.1.{n}" for n in (11, 12, 13)]
        self.sides = [(f"{self.net}.2.{n + 1}", service) for n, service in enumerate(services)]
        self.client_ip = f"{self.net}.9.1"
        self.slots, self.work_ms = slots, work_ms
        self.boots = 0
        self.origin = time.time()

    def free_net(self):
        for _ in range(50):
            net = f"127.{random.randrange(20, 250)}"
            try:
                for host in ("1.11", "1.12", "1.13", "2.1", "2.2", "2.3", "2.4", "9.1"):
                    for port in (DATAGRAMS, READY, CONTROL, OUTBOUND, APP, 7720, 7721, 7722, 7723, 9401, 9402, 9403):
                        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                            with socket.socket(socket.AF_INET, kind) as probe:
                                probe.bind((f"{net}.{host}", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def record(self, event, **fields):
        line = {"at": round(time.time() - self.origin, 3), "event": event, **fields}
        self.record_file.write(json.dumps(line) + "\n")

    def start(self, role, ip, service=None):
        """Starts a process of the project with the command of the deploy file."""
        zone = f"zone-{ip.split('.')[-1]}" if role != "agent" else f"zone-{11 + self.side(ip) % 3}"
        disk = role == "control"
        settings = {
            "host": f"{role}-{ip}", "ip": ip, "data_centre": zone,
            "data_centres": {f"zone-{n}": "region" for n in (11, 12, 13)},
            "first_port": 7720, "last_port": 7735,
            "seeds": [f"{edge}:{CONTROL}" for edge in self.edges],
            "bootstrap": disk and (role, ip) not in self.started, "tolerated_losses": 1,
            "link_mbps": 1000.0, "data_dir": os.path.join(self.dir.name, f"{role}-{ip}") if disk else None,
            "datagrams": f"{ip}:{DATAGRAMS}" if role != "control" else None,
            "ready": f"{ip}:{READY}" if role != "control" else None,
            "control": f"{ip}:{CONTROL}" if role != "balancer" else None,
            "outbound": f"{ip}:{OUTBOUND}" if role == "agent" else None,
            "upstream": f"{ip}:{APP}" if role == "agent" else None,
            "service": service, "cold_excess": None, "cold_slack": None,
            "checkpoint_flows": True, "fair_queueing": True,
        }
        self.started.add((role, ip))
        path = os.path.join(self.dir.name, f"{role}-{ip}.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.dir.name, f"{role}-{ip}.log"), "a")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""), "LIMPETPLANK_NODE_FILE": path}
        child = subprocess.Popen(COMMANDS[role].split(), cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.children[(role, ip)] = child
        self.record("process started", role=role, ip=ip)

    def side(self, ip):
        return [address for address, _ in self.sides].index(ip)

    def start_server(self, ip):
        """Starts a server; each start is a new boot with a new id."""
        self.boots += 1
        name = f"i-{self.side(ip) + 1}-{self.boots}"
        service = dict(self.sides)[ip]
        out = os.path.join(self.dir.name, f"{name}.record")
        args = [sys.executable, os.path.join(HERE, "server.py"), name, service, f"{ip}:{APP}", f"{ip}:{OUTBOUND}",
                f"{ip}:{CONTROL}", f"zone-{11 + self.side(ip) % 3}", str(self.slots), str(self.work_ms), out]
        log = open(os.path.join(self.dir.name, f"{name}.log"), "a")
        self.children[("server", ip)] = subprocess.Popen(args, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record("server started", id=name, ip=ip)
        return name

    def start_all(self):
        for edge in self.edges:
            self.start("control", edge)
            self.start("balancer", edge)
        for ip, service in self.sides:
            self.start_server(ip)
            self.start("agent", ip, service)

    def signal(self, role, ip, number):
        child = self.children[(role, ip)]
        self.record("signal", role=role, ip=ip, signal=signal.Signals(number).name)
        child.send_signal(number)
        if number in (signal.SIGKILL, signal.SIGTERM):
            child.wait(timeout=10)

    def events(self, name):
        """What a server has recorded so far."""
        try:
            with open(os.path.join(self.dir.name, f"{name}.record")) as file:
                return [json.loads(line) for line in file if line.endswith("\n")]
        except FileNotFoundError:
            return []

    def call(self, ip, method, path, body=None, timeout=1.5):
        try:
            call = http.client.HTTPConnection(ip, CONTROL if path.startswith("/api/config") else READY, timeout=timeout)
            call.request(method, path, body, {"Content-Type": "application/json"})
            response = call.getresponse()
            answer = response.status, response.read()
            call.close()
            return answer
        except OSError:
            return None, b""

    def put(self, document):
        """Sends a desired state as an operator does, until it has a clear answer."""
        body = json.dumps(document)
        for attempt in range(60):
            status, _ = self.call(self.edges[attempt % 3], "PUT", "/api/config", body)
            if status is not None and status < 500 and status not in (408, 429):
                self.record("desired state answered", version=document["version"], status=status, by=self.edges[attempt % 3])
                return status
            time.sleep(0.2)
        raise CannotRun("the desired state got no clear answer")

    def wait_until(self, what, holds, seconds):
        until = time.time() + seconds
        while not holds():
            if time.time() > until:
                raise CannotRun(f"not in time: {what}")
            time.sleep(0.05)

    def wait_ready(self):
        ready = lambda: all(self.call(edge, "GET", "/api/readyz")[0] == 200 for edge in self.edges)
        self.wait_until("all balancers are ready", ready, 25)

    def close(self):
        for child in self.children.values():
            if child.poll() is None:
                child.kill()
        for child in self.children.values():
            child.wait()
        for name in sorted(os.listdir(self.dir.name)):
            if name.endswith(".record"):
                with open(os.path.join(self.dir.name, name)) as file:
                    for line in file:
                        event = json.loads(line)
                        event["at"] = round(event["at"] - self.origin, 3)
                        self.record_file.write(json.dumps(event) + "\n")
        self.dir.cleanup()


class Client:
    """Clients at one address. Each flow has its own port in the packets' headers."""

    def __init__(self, site):
        self.site = site
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((site.client_ip, DATAGRAMS))
        self.port = 1024
        self.flows = {}

    def send(self, flow, packet):
        self.socket.sendto(packet.write(), (flow["edge"], DATAGRAMS))

    def open(self, route, edge, copies=(0.2, 0.6)):
        """Sends the first opening packet of a new flow."""
        self.port += 1
        flow = {"port": self.port, "route": route, "edge": edge, "seq": random.getrandbits(32), "ack": None, "state": "opening",
                "sent_at": time.time(), "copies": list(copies), "copy": 0, "request": None, "answers": [], "server": None, "reset_at": None}
        self.flows[self.port] = flow
        flow["copy_times"] = [flow["sent_at"]]
        self.send(flow, self.syn(flow))
        return flow

    def syn(self, flow):
        return Packet((self.site.client_ip, flow["port"]), flow["route"], SYN, flow["seq"], flow["copy"])

    def request(self, flow, text):
        """Sends a request on an open flow; `pump` sends it again until it is answered."""
        flow["request"] = {"text": text, "seq": flow["next"], "sent_at": time.time(), "again_at": time.time() + 0.2, "gap": 0.2}
        self.site.record("request sent", request=text, flow=flow["port"], by=flow["edge"])
        self.send_request(flow)

    def send_request(self, flow):
        request = flow["request"]
        packet = Packet((self.site.client_ip, flow["port"]), flow["route"], ACK, request["seq"], flow["ack"], request["text"].encode())
        self.send(flow, packet)

    def pump(self, seconds):
        """Receives packets and sends copies for this long."""
        until = time.time() + seconds
        while True:
            now = time.time()
            if now >= until:
                return
            for flow in self.flows.values():
                if flow["state"] == "opening" and flow["copies"] and now >= flow["sent_at"] + flow["copies"][0]:
                    flow["copies"].pop(0)
                    flow["copy"] += 1
                    flow["copy_times"].append(now)
                    self.send(flow, self.syn(flow))
                request = flow["request"]
                if flow["state"] == "open" and request and now >= request["again_at"]:
                    request["gap"] = min(1.6, request["gap"] * 2)
                    request["again_at"] = now + request["gap"]
                    self.send_request(flow)
            ready, _, _ = select.select([self.socket], [], [], 0.01)
            if ready:
                packet = read(self.socket.recv(65536))
                if packet:
                    self.receive(packet)

    def receive(self, packet):
        flow = self.flows.get(packet.dst[1])
        if flow is None or packet.src != flow["route"]:
            self.site.record("foreign packet", port=packet.dst[1])
            return
        if packet.flags & RST:
            near = flow["ack"] is None or min((packet.seq - flow["ack"]) & 0xFFFFFFFF, (flow["ack"] - packet.seq) & 0xFFFFFFFF) <= 76800
            by = "system" if packet.sum == 0 else "server"
            self.site.record("reset received", flow=flow["port"], state=flow["state"], by=by, valid=near, server=flow["server"])
            if near and flow["state"] in ("opening", "open"):
                flow["reset_at"], flow["reset_by"], flow["state"], flow["was"] = time.time(), by, "reset", flow["state"]
        elif packet.flags & SYN and flow["state"] == "opening":
            flow["state"], flow["ack"], flow["next"] = "open", (packet.seq + 1) & 0xFFFFFFFF, (flow["seq"] + 1) & 0xFFFFFFFF
            flow["open_at"] = time.time()
            self.request(flow, f"r{flow['port']}-1")
        elif packet.data and flow["state"] == "open":
            request = flow["request"]
            if request and packet.ack == (request["seq"] + len(request["text"])) & 0xFFFFFFFF:
                flow["server"] = packet.data.decode().split(" ")[0]
                flow["answers"].append(packet.data.decode())
                flow["next"], flow["ack"] = packet.ack, (packet.seq + len(packet.data)) & 0xFFFFFFFF
                flow["request"] = None
                self.site.record("answer received", request=request["text"], flow=flow["port"], server=flow["server"])
                self.send(flow, Packet((self.site.client_ip, flow["port"]), flow["route"], ACK, flow["next"], flow["ack"]))


def run_case(case, record_path):
    """Runs a case and ends with 0 if the rule held, 1 if it broke, 2 if it could not run."""
    try:
        code = case(os.environ.get("TROUBLE", "1") != "0", record_path)
    except (CannotRun, OSError, subprocess.SubprocessError) as error:
        print(f"could not run: {error}")
        code = 2
    sys.exit(code)
