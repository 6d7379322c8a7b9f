"""An old report of a gang's task reaches the new leader, which takes the task for gone and starts it again elsewhere."""
import asyncio
import copy
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import Connection, GOTTHARD, Users, bern, job, main, now  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
GANG = "job-000002"
BACK_AFTER_S = 6.0
HANG_S = 20.0


def build(case_folder):
    # A machine fetches 0.2 GB/s, so an image of 12 GB takes a minute where it is not cached.
    return bern(case_folder, builds=[dict(GOTTHARD, pull_gb_per_s=0.2)])


def tasks_of(worker, job_id):
    return [t for t in worker.pieces.values() if t.piece.startswith(job_id + "/")]


async def until(condition, timeout, what):
    end = now() + timeout
    while not condition():
        if now() > end:
            raise RuntimeError("not reached: " + what)
        await asyncio.sleep(0.02)


async def play(world, trouble):
    cloud = world.cloud
    m1 = cloud.new_machine("gotthard-box", "bern-keller", False, 0, images=["img-gang"])
    m2 = cloud.new_machine("gotthard-box", "bern-keller", True, 0)
    others = [cloud.new_machine("gotthard-box", "zurich-rack", False, 0, images=["img-gang", "img-01"])
              for _ in range(2)]
    await world.wait_healthy()
    users = Users(world)

    # While other work fills the machines of zurich-rack, the gang gets one machine of bern-keller for each task.
    await users.submit(job(1, pieces=2, accelerators=8.0, yard="zurich-rack", size_gb=0.1, guess_s=25.0), run_s=25.0)
    await until(lambda: all(tasks_of(w, "job-000001") for w in others), 20, "zurich-rack is full")
    await users.submit(job(2, shape="ensemble", pieces=2, accelerators=5.0, cores=10.0, mould="img-gang", size_gb=12.0,
                           guess_s=10.0, loaners=True), run_s=5.0)
    await until(lambda: tasks_of(m1, GANG) and tasks_of(m2, GANG), 20, "the gang is on both machines of bern-keller")
    # Then a service with the same image takes a part of each machine of zurich-rack.
    await users.submit(job(3, shape="service", pieces=2, accelerators=1.0, cores=50.0, urgency="critical",
                           docket="rota-assist", mould="img-gang", size_gb=12.0, yard="zurich-rack"))

    # The first task waits for gang_wait_s and exits with `incomplete`; the leader has it wait again, as the second is
    # still fetching. The report of that exit is kept: a copy of it arrives later.
    kept = {}

    def keep(report):
        if any(p["piece"].startswith(GANG) and p.get("cause") == "incomplete" for p in report["pieces"]):
            kept.setdefault("report", copy.deepcopy(report))

    m1.on_report = keep
    await until(lambda: "report" in kept, 75, "the first task exits with incomplete")
    world.record("report of %s with the exit: %s" % (m1.name, kept["report"]))
    await until(lambda: any(t.stage == "waiting" for t in tasks_of(m1, GANG)), 8, "the first task waits again")
    await until(lambda: all(any(t.stage == "running" for t in tasks_of(w, "job-000003")) for w in others), 10,
                "the service runs on both machines of zurich-rack")

    if trouble:
        # The machine hangs, within its lease, and the leader crashes; it is back after some seconds.
        first_leader = world.leader()
        m1.hung = True
        world.record("machine %s hangs" % m1.name)
        hung_at = now()
        world.nodes[first_leader].kill()
        asyncio.get_running_loop().call_later(BACK_AFTER_S, world.nodes[first_leader].start)
        await until(lambda: world.leader() not in (None, first_leader), 20, "a new leader")
        world.record("new leader %s" % world.leader())
        # The cloud takes the cheap machine back, with notice.
        m2.recall_at = now() + 30.0
        m2.dirty.set()
        world.record("notice for %s" % m2.name)
        await until(lambda: not any(t.stage != "ended" for t in tasks_of(m2, GANG)), 15, "the second task is stopped")
        # The copy of the old report arrives at the new leader.
        status, answer = await Connection(world.nodes[world.leader()].front).request("POST", "/checkin", kept["report"])
        world.record("copy of the old report at %s -> %s %s (the worker drops it)" % (world.leader(), status, answer))
        await asyncio.sleep(max(0.0, hung_at + HANG_S - now()))
        m1.hung = False
        world.record("machine %s goes on" % m1.name)
        await asyncio.sleep(6.0)
    elif not await users.wait_stage(GANG, ("done",), 40):
        raise RuntimeError("the gang was not done")
    if world.doubles:
        print("rule broken: " + "; ".join(world.doubles))
        return 1
    print("rule held")
    return 0


main(FOLDER, play, build)
