"""A user cancels a gang of 500 tasks at once after its acceptance; no job that is accepted later ever starts."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import Users, job, main, now  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
PIECES = 500
# Seconds from the acceptance to the cancellation. The tasks are placed and stored within about 0.2 s, and the workers
# get their start in the answer to their next report, up to 3 s later.
CANCEL_AFTER_S = 0.2
LEFT_WAITING_S = 90.0


def has_room(worker):
    """Whether an ordinary job of this case fits on the machine, which is up and reports."""
    held = [t for t in worker.pieces.values() if t.stage != "ended"]
    return not worker.ended and worker.tally > 0 and all(
        sum(t.job[f] for t in held) + job(0)[f] <= worker.build[f] for f in ("cores", "accelerators", "ram_gb"))


async def play(world, trouble):
    for yard in ("bern-keller", "bern-keller", "zurich-rack", "zurich-rack"):
        world.cloud.new_machine("gotthard-box", yard, False, 0)
    await world.wait_healthy()
    users = Users(world)
    # A service keeps the deployment busy and shows that it serves.
    await users.submit(job(1, shape="service", urgency="critical", docket="rota-assist", accelerators=1.0))
    if not await users.wait_stage("job-000001", ("running",), 15):
        raise RuntimeError("the service does not run")
    leader = world.leader()
    world.record("leader is %s" % leader)

    # The gang is submitted just after a round of reports, and cancelled at once through another node.
    gang = job(2, shape="ensemble", pieces=PIECES, cores=0.1, ram_gb=0.1, guess_s=20.0)
    tallies = {w.name: w.tally for w in world.workers.values() if w.tally > 0}
    while any(world.workers[n].tally == t for n, t in tallies.items() if not world.workers[n].ended):
        await asyncio.sleep(0.01)
    if await users.submit(gang, run_s=5.0) not in (200, 201):
        raise RuntimeError("the gang was not accepted")
    if trouble:
        await asyncio.sleep(CANCEL_AFTER_S)
        other = next(n for n in world.nodes.values() if n.name != leader)
        answer = await users.call("POST", "/api/jobs/job-000002/withdraw", node=other)
        world.record("withdraw job-000002 at %s -> %s" % (answer[0], answer[1:]))
        await asyncio.sleep(2.0)
    elif not await users.wait_stage("job-000002", ("done",), 40):
        raise RuntimeError("the gang was not done")

    # Ordinary jobs: each fits on a machine that has room, and the team is far below its limit.
    later = [3, 4, 5]
    for number in later:
        if await users.submit(job(number)) not in (200, 201):
            raise RuntimeError("an ordinary job was not accepted")
    accepted = now()
    waiting = {"job-%06d" % n for n in later}
    always_room = True
    while waiting and now() - accepted < LEFT_WAITING_S + 0.5:
        await asyncio.sleep(min(4.7, max(0.1, accepted + LEFT_WAITING_S + 0.6 - now())))
        always_room = always_room and any(has_room(w) for w in world.workers.values())
        for job_id in sorted(waiting):
            status, answer = await users.poll(job_id)
            if status == 200 and answer["stage"] == "done":
                waiting.discard(job_id)
    waited = now() - accepted
    world.record("after %.0f s: waiting %s, leader %s, machines with room %s, controllers ended by themselves %s" % (
        waited, sorted(waiting), world.leader(), [w.name for w in world.workers.values() if has_room(w)],
        [n.name for n in world.nodes.values() if n.ended_by_itself]))
    if waiting:
        if waited < LEFT_WAITING_S or not always_room:
            raise RuntimeError("not watched for long enough, or no machine has room")
        world.record("LEFT WAITING %s" % sorted(waiting))
        print("rule broken: left waiting for %.0f s with room on machines: %s" % (waited, sorted(waiting)))
        return 1
    print("rule held")
    return 0


main(FOLDER, play)
