"""A coordinator that was just restarted leaves a removal out, then loses power."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from deployment import BOUNDS, main  # noqa: E402
from shared import ROUTES, SERVICES, client, late_arrivals, leader  # noqa: E402


async def run(case, trouble):
    for number in range(4):
        await case.host(f"host-{number}", "nord-a")
    for _ in range(6):
        await case.backend("plain", "nord-a")
    await case.configure(SERVICES[:1], ROUTES[:2])
    if not await case.ready():
        return 2
    loads = [asyncio.create_task(client(case, it, 0.01)) for it in case.hosts for _ in range(2)]
    await asyncio.sleep(6)
    first = leader(case)
    if trouble:
        # The first kill: the platform restarts the process after half a second.
        first.signal(signal.SIGKILL)
        first.process.wait()
        await asyncio.sleep(0.5)
        first.launch()
    await asyncio.sleep(0.7)
    # Two backends leave: one without a report, one with. Both serve on for long.
    await case.backends[0].leave(quietly=True)
    await asyncio.sleep(0.1)
    await case.backends[1].leave(quietly=False)
    await asyncio.sleep(0.75)
    again = leader(case)
    case.record.add("coordinator", before=first.name, now=again.name)
    if trouble:
        # The machine loses power for 3.5 s. It says nothing meanwhile, so its sockets stay open.
        again.signal(signal.SIGSTOP)
    await asyncio.sleep(3.5)
    if trouble:
        again.process.kill()
        again.process.wait()
        again.launch()
    await asyncio.sleep(2)
    for it in loads:
        it.cancel()
    late = late_arrivals(case, BOUNDS["drain_s"], {first.name, again.name} if trouble else set())
    answered = sum(it["what"] == "answered" and it["status"] == 200 for it in case.record.events)
    case.record.add("verdict", late=len(late), latest=max(late, default=None), served=answered)
    print(f"{answered} requests served; {len(late)} reached a backend over "
          f"{BOUNDS['drain_s']} s after its leaving was acknowledged; the latest {max(late, default=None)}")
    if answered < 500:
        return 2
    return 1 if late else 0


main(run, HERE)
