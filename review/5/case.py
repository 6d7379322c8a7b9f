"""A gang whose tasks fit on one machine by their needs, but not into the machine's report of 64 KiB."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from standins import bern, job, run_case

RUN_S = 40.0


async def play(make, trouble):
    world = make(bern())
    await world.start()
    await world.wait_leader()
    await asyncio.sleep(1)
    await world.submit(job(1, pieces=4, guess_s=RUN_S))
    running = lambda: sum(t.stage == "running" for w in world.workers.values() for t in w.tasks.values())
    if not await world.until(lambda: running() == 4, 20):
        raise RuntimeError("the first job did not start")
    pieces = 1200 if trouble else 600
    await world.submit(job(2, shape="ensemble", docket="roster-gang", urgency="normal", pieces=pieces, cores=0.05,
                           accelerators=0.0, ram_gb=0.05, mould="img-02", size_gb=0.5, guess_s=RUN_S))

    def all_done():
        return (all(f"job-000001/{i}" in world.done for i in range(4))
                and all(f"job-000002/{i}" in world.done for i in range(pieces)))
    await world.until(lambda: all_done() or world.lost, 2 * RUN_S, 0.5)
    if not all_done():
        await world.until(all_done, 2 * RUN_S - 30, 0.5)
    await asyncio.sleep(4)
    for name in ("job-000001", "job-000002"):
        await world.ask(name, timeout=5.0)
    print(f"gang of {pieces} tasks done: {all(f'job-000002/{i}' in world.done for i in range(pieces))}; "
          f"{len(world.lost)} tasks of all jobs killed by an expired lease on a sound machine")
    return all_done() and not world.lost

run_case(play, 115)
