"""A server beside an agent, as PROTOCOL.md describes it.

server.py ID SERVICE ADDRESS OUTBOUND CONTROL ZONE SLOTS WORK_MS RECORD_FILE

It announces itself, answers status checks, accepts flows, serves one request for each
piece of data, and returns what it does not hold. Each line of the record file is a JSON
object: what happened at this server, with the time of day."""

import http.client
import json
import random
import select
import socket
import sys
import threading
import time

from packet import ACK, BOUNCED, FIN, RST, SYN, Packet, bounced, read

NAME, SERVICE, ADDRESS, OUTBOUND, CONTROL, ZONE = sys.argv[1:7]
SLOTS, WORK_MS, RECORD = int(sys.argv[7]), float(sys.argv[8]), open(sys.argv[9], "a", buffering=1)
HEARTBEAT_S = 1.2
BORN = int(time.time() * 1000)


def pair(text):
    host, port = text.rsplit(":", 1)
    return host, int(port)


def record(event, **fields):
    RECORD.write(json.dumps({"at": time.time(), "server": NAME, "event": event, **fields}) + "\n")


def announce():
    sequence = 0
    while True:
        body = json.dumps({
            "service": SERVICE, "address": ADDRESS, "zone": ZONE, "version": "v1",
            "concurrency": SLOTS, "state": "ready", "cold-remaining-ms": 0,
            "sequence": sequence, "born": BORN,
        })
        sequence += 1
        status = None
        try:
            call = http.client.HTTPConnection(*pair(CONTROL), timeout=1)
            call.request("PUT", f"/api/instances/{NAME}", body, {"Content-Type": "application/json"})
            status = call.getresponse().status
            call.close()
        except OSError:
            pass
        record("announced", status=status, sequence=sequence - 1)
        time.sleep(HEARTBEAT_S if status == 200 else 0.2)


def answer_checks(listener):
    while True:
        connection, _ = listener.accept()
        try:
            connection.settimeout(1)
            if connection.recv(4096):
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        except OSError:
            pass
        connection.close()


class Flow:
    """A flow: whether the end of the handshake has arrived, and the answers that were sent."""

    def __init__(self, opening_seq):
        self.opening_seq = opening_seq
        self.first = random.getrandbits(32)
        self.next = (self.first + 1) & 0xFFFFFFFF
        self.is_open = False
        self.answers = {}


def serve():
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp.bind(pair(ADDRESS))
    out = pair(OUTBOUND)
    flows, queue, running = {}, [], []
    while True:
        now = time.monotonic()
        wait = max(0.0, running[0][0] - now) if running else 0.5
        ready, _, _ = select.select([udp], [], [], wait)
        now = time.monotonic()
        while running and running[0][0] <= now:
            _, key, seq, data = running.pop(0)
            if key in flows:
                flow = flows[key]
                body = f"{NAME} {data.decode(errors='replace')}".encode()
                packet = Packet(key[1], key[0], ACK, flow.next, seq + len(data), body)
                flow.answers[seq] = packet
                flow.next = (flow.next + len(body)) & 0xFFFFFFFF
                record("answered", flow=str(key[0]), request=data.decode(errors="replace"))
                udp.sendto(packet.write(), out)
        while queue and len(running) < SLOTS:
            key, seq, data = queue.pop(0)
            record("run", flow=str(key[0]), request=data.decode(errors="replace"))
            running.append((now + WORK_MS / 1000, key, seq, data))
            running.sort(key=lambda item: item[0])
        if not ready:
            continue
        datagram = udp.recv(65536)
        packet = read(datagram)
        if packet is None or packet.flags & BOUNCED:
            record("invalid")
            continue
        key = (packet.src, packet.dst)
        if packet.flags & SYN and not packet.flags & ACK:
            flow = flows.get(key)
            if flow is None or flow.opening_seq != packet.seq:
                flow = flows[key] = Flow(packet.seq)
                record("opening", flow=str(key[0]), route=str(key[1]), copy=packet.ack)
            udp.sendto(Packet(key[1], key[0], SYN | ACK, flow.first, packet.seq + 1).write(), out)
            continue
        flow = flows.get(key)
        sent = None if flow is None else (packet.ack - flow.first) & 0xFFFFFFFF
        held = flow is not None and packet.flags & ACK and 1 <= sent <= ((flow.next - flow.first) & 0xFFFFFFFF)
        if not held:
            record("bounced", flow=str(key[0]), length=len(packet.data))
            udp.sendto(bounced(datagram), out)
            continue
        if not flow.is_open:
            flow.is_open = True
            record("open", flow=str(key[0]))
        if packet.flags & RST:
            del flows[key]
        elif packet.data:
            if packet.seq in flow.answers:
                udp.sendto(flow.answers[packet.seq].write(), out)
            elif all(item[1:3] != (key, packet.seq) for item in running) and all(
                item[:2] != (key, packet.seq) for item in queue
            ):
                queue.append((key, packet.seq, packet.data))
        elif packet.flags & FIN:
            udp.sendto(Packet(key[1], key[0], ACK | FIN, flow.next, packet.seq + 1).write(), out)
            del flows[key]


listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
listener.bind(pair(ADDRESS))
listener.listen(64)
record("started", born=BORN)
threading.Thread(target=answer_checks, args=(listener,), daemon=True).start()
threading.Thread(target=announce, daemon=True).start()
serve()
