"""A deployment whose machines reach one another through links of the script.

Each process listens at an address of its own and is reached by its public one. A relay passes
datagrams and connections between processes on, with the public address of their sender, can cut
a machine off, and carries the routing sets for nodes at the rate of a thin link.
"""

import asyncio
import json
import socket

from limpet_site import Site, http


class LinkedSite(Site):
    def __init__(self, *args, routes_bytes_per_s=None, **options):
        super().__init__(*args, **options)
        self.routes_bytes_per_s = routes_bytes_per_s
        self.sockets = {}
        self.cut = set()        # pairs of machines that do not reach one another
        self.servers_tcp = []
        self.connections = set()

    def listen_ip(self, machine):
        return machine.ip.replace(self.base + ".", self.base + ".1", 1) if machine.ip.startswith(self.base) else None

    def fields(self, machine, role, bootstrap):
        fields = super().fields(machine, role, bootstrap)
        if machine.kind == "edge" and not machine.data_dir:
            fields["limits"]["link-mbps"] = self.routes_bytes_per_s * 8 / 1_000_000
        return fields

    def write_settings(self, machine, role, bootstrap):
        path = super().write_settings(machine, role, bootstrap)
        with open(path) as file:
            settings = json.load(file)
        settings["listen_ip"] = self.listen_ip(machine)
        with open(path, "w") as file:
            json.dump(settings, file)
        return path

    def is_cut(self, a, b):
        return frozenset((a, b)) in self.cut

    def cut_off(self, machine, others):
        self.cut |= {frozenset((machine.ip, other.ip)) for other in others}
        self.record.note(f"{machine.name} is cut off from " + ", ".join(o.name for o in others))

    def heal(self):
        self.cut.clear()
        self.record.note("the cut is healed")

    async def start_links(self):
        loop = asyncio.get_running_loop()
        self.public = {self.listen_ip(m): m.ip for m in [*self.edges, *self.sides]}
        for machine in [*self.edges, *self.sides]:
            for port in range(self.ports["first"], self.ports["first"] + 4):
                sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
                sock.setblocking(False)
                sock.bind((machine.ip, port))
                self.sockets[machine.ip, port] = sock
                loop.add_reader(sock, self.relay, sock, machine.ip, port)
            if machine.kind == "edge":
                port = self.ports["first"] + 1
                server = await asyncio.start_server(
                    lambda r, w, m=machine: self.relay_connection(r, w, m), machine.ip, port)
                self.servers_tcp.append(server)

    def relay(self, sock, ip, port):
        for _ in range(200):
            try:
                data, (source, source_port) = sock.recvfrom(65536)
            except (BlockingIOError, ConnectionError):
                return
            sender = self.public.get(source)
            out = self.sockets.get((sender, source_port))
            if out is None or self.is_cut(sender, ip):
                continue
            try:
                out.sendto(data, (ip.replace(self.base + ".", self.base + ".1", 1), port))
            except OSError:
                pass

    async def relay_connection(self, reader, writer, machine):
        upstream = None
        self.connections.add(asyncio.current_task())
        try:
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
            up_reader, upstream = await asyncio.open_connection(self.listen_ip(machine), self.ports["first"] + 1)
            upstream.write(head)
            thin = head.startswith(b"POST /v1/routes ") and self.routes_bytes_per_s

            async def forward():
                # The server has to see at once that its client has gone.
                try:
                    while data := await reader.read(65536):
                        upstream.write(data)
                        await upstream.drain()
                except OSError:
                    pass
                upstream.close()

            there = asyncio.create_task(forward())
            passed = 0
            start = self.record.now()
            try:
                while data := await up_reader.read(4096):
                    if thin:
                        # The answer takes its time on the link.
                        await asyncio.sleep(max(0.0, start + (passed + len(data)) / self.routes_bytes_per_s - self.record.now()))
                    writer.write(data)
                    await writer.drain()
                    passed += len(data)
            finally:
                there.cancel()
                if thin and passed > 20000:
                    self.record.note(f"link: {passed} bytes of a routing set from {machine.name} in {self.record.now() - start:.2f} s")
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(asyncio.current_task())
            writer.close()
            if upstream:
                upstream.close()

    async def stop(self):
        loop = asyncio.get_running_loop()
        for sock in self.sockets.values():
            loop.remove_reader(sock)
            sock.close()
        for server in self.servers_tcp:
            server.close()
        connections = list(self.connections)
        for task in connections:
            task.cancel()
        await asyncio.gather(*connections, return_exceptions=True)
        await super().stop()
