"""A core machine is replaced as planned; right after, another one loses its disk."""

import asyncio
import os
import shutil
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "site-3"))
from limpet_site import BOUNDS, CannotRun, document, main  # noqa: E402

STEADY_S = 6.0      # more than stable-window-ms and catch-up-s after the start
SUCCESSOR_S = 6.0   # the successor has had more than catch-up-s (4) when the old machine goes
DARK_S = 1.0        # after_ack_wipe: 3.2 s at most on the days of beji-pwani


async def play(site):
    route = (f"{site.base}.9.1", 8443)
    old, lost, third = site.edges
    await site.start([{}, {}, {}])
    status, _ = await site.put_config(document(5, {route: "rejista"}, ["rejista"]))
    if status != 200 or not await site.wait_ready():
        raise CannotRun("the site did not start")
    await asyncio.sleep(STEADY_S)

    # Planned: the successor comes first, at a new address and with an empty disk.
    new = site.add_edge(old.zone)
    site.start_process(new, "balancer")
    site.start_process(new, "control")
    await asyncio.sleep(SUCCESSOR_S)
    status, _ = await site.put_config(document(8, {route: "rejista"}, ["rejista"]), first=1)
    if status != 200:
        raise CannotRun("version 8 was not acknowledged")
    for process in old.processes.values():
        process.kill()
        process.wait()
    gone = site.record.now()
    site.record.note(f"{old.name} is removed for good; its successor {new.name} has run for {SUCCESSOR_S} s")

    # The next change is acknowledged by a machine that then loses its disk, if there is trouble.
    await asyncio.sleep(0.3)
    status, acked = await site.put_config(document(11, {route: "rejista"}, ["rejista"]), first=1)
    if status != 200:
        raise CannotRun("version 11 was not acknowledged")
    if site.trouble:
        for process in lost.processes.values():
            process.kill()
            process.wait()
        shutil.rmtree(lost.data_dir)
        os.makedirs(lost.data_dir)
        site.record.note(f"{lost.name} lost its disk, {1000 * (site.record.now() - acked):.0f} ms after the "
                         f"confirmation and {1000 * (site.record.now() - gone):.0f} ms after {old.name} was removed")
        await asyncio.sleep(DARK_S)
        for role in list(lost.processes):
            site.start_process(lost, role)
    back = site.record.now()
    site.record.note("all machines are back")

    # The operator reads for longer than recovery-s, stable-window-ms and max-stretch-ms together.
    machines = [lost, third, new]
    await asyncio.sleep(BOUNDS["recovery-s"])
    end = back + BOUNDS["recovery-s"] + (BOUNDS["stable-window-ms"] + BOUNDS["max-stretch-ms"]) / 1000 + 2
    answers = []
    while site.record.now() < end:
        for machine in machines:
            answer = await site.get_config_at(machine)
            answers.append(answer)
            seen = "no answer" if answer is None else f"{answer[0]} {answer[1][:40]!r}"
            site.record.note(f"operator reads at {machine.name}: {seen}")
        if any(answer and answer[0] == 200 for answer in answers):
            break
        await asyncio.sleep(1.0)
    read = [answer for answer in answers if answer and answer[0] == 200]
    if any(b'"version": 11' in answer[1] for answer in read):
        return []
    status, _ = await site.put_config(document(14, {route: "rejista"}, ["rejista"]), timeout_s=6, first=1)
    what = "is older" if read else "doesn't come"
    return [
        f"CONFIG the newest acknowledged desired state (version 11) {what}, read {len(answers)} times "
        f"until {site.record.now() - back:.0f} s after all machines were back; a further version got {status}"
    ]


main(play, os.path.join(HERE, "record.txt"), ["rejista", "rejista", "rejista"], site="beji-pwani")
