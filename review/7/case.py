"""A server crashes and starts again; within two seconds its agent is killed and started again."""

import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand-ins-2"))
from site_2 import Client, Site, run_case  # noqa: E402

ROUTE = ("127.18.0.1", 8443)
STABLE_WINDOW_S = 5.0
RESTART_DELAY_S = 0.4
SERVER_DOWN_S = 2.0
PAUSE_S = STABLE_WINDOW_S + 2.0


def case(trouble, record_path):
    site = Site(record_path, ["huvo11a"] * 4)
    try:
        site.start_all()
        route = {"name": "r-1", "host": ROUTE[0], "path-prefix": f"/{ROUTE[1]}/", "type": "safe", "timeout-ms": 1500,
                 "target-latency-ms": 250, "priority": 2, "service": "huvo11a", "max-attempts": 2}
        state = {"version": 7, "routes": [route],
                 "services": [{"name": "huvo11a", "health-path": "/health", "max-connections": 2000, "protocol": "h1", "tls": False}],
                 "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
        site.put(state)
        site.wait_ready()
        client = Client(site)
        client.pump(6.0)

        ip = site.sides[0][0]
        name = next(c for c in [f"i-1-{n}" for n in range(1, 9)] if site.events(c))
        if trouble:
            site.signal("server", ip, signal.SIGKILL)
            client.pump(SERVER_DOWN_S)
            name = site.start_server(ip)
        ready = lambda: any(e["event"] == "announced" and e["status"] == 200 for e in site.events(name))
        site.wait_until("the server is announced", ready, 8)
        started_at = time.time()

        # New flows, some of which go to this server, then a pause.
        for n in range(60):
            client.open(ROUTE, site.edges[n % 3])
            client.pump(0.008)
        client.pump(max(0.0, started_at + 0.9 - time.time()))
        if trouble:
            site.signal("agent", ip, signal.SIGKILL)
            client.pump(RESTART_DELAY_S)
            site.start("agent", ip, "huvo11a")
        restarted_at = time.time()
        flows = [f for f in client.flows.values() if f["server"] == name and f["state"] == "open" and not f["request"]]
        site.record("flows at the server", count=len(flows), server=name)
        client.pump(PAUSE_S)

        # The machine is in touch again. The next request on each flow, one after the other.
        for flow in flows:
            client.request(flow, f"r{flow['port']}-2")
            client.pump(0.05)
        client.pump(2.5)
        opened = {e["flow"] for e in site.events(name) if e["event"] == "open"}
        broken = [f for f in flows if f["state"] == "reset" and f["reset_by"] == "system"
                  and f["reset_at"] > restarted_at + STABLE_WINDOW_S
                  and str((site.client_ip, f["port"])) in opened]
        alive = site.children[("server", ip)].poll() is None
        answered = sum(len(f["answers"]) == 2 for f in flows)
        site.record("result", flows=len(flows), answered=answered, reset=len(broken), server_lives=alive)
        print(f"{len(flows)} open flows at {name}: {answered} answered, {len(broken)} reset by the system")
        if len(flows) < 3 or not alive:
            print("could not run: too few flows at the server")
            return 2
        return 1 if broken else 0
    finally:
        site.close()


run_case(case, os.path.join(HERE, "record.txt"))
