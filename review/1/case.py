"""A job whose estimate is a very small decimal number is accepted; then no job is answered for or run any more."""
import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import Users, job, main, now  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
WATCHED_S = 78.0
FORGOTTEN_S = 75.0
TINY = "0." + "0" * 59 + "1"


async def play(world, trouble):
    for yard in ("bern-keller", "bern-keller", "zurich-rack", "zurich-rack"):
        world.cloud.new_machine("gotthard-box", yard, False, 0)
    await world.wait_healthy()
    users = Users(world)
    # Ordinary work first: it shows that the deployment serves.
    await users.submit(job(1))
    if not await users.wait_stage("job-000001", ("done",), 15):
        raise RuntimeError("the first job was not done")
    await users.submit(job(2, shape="service", urgency="critical", docket="rota-assist", accelerators=1.0))
    if not await users.wait_stage("job-000002", ("running",), 15):
        raise RuntimeError("the service does not run")

    # One user's submission with an estimate that is far too low, or the same job with an ordinary estimate.
    spec = job(3)
    body = json.dumps(dict(spec, guess_s="AMOUNT")).replace('"AMOUNT"', TINY if trouble else "2.0").encode()
    world.record("submission: " + body.decode())
    odd = await users.submit(spec, body=body)
    accepted = ["job-000002"] + (["job-000003"] if odd in (200, 201) else [])
    for number in (4, 5, 6):
        if await users.submit(job(number)) in (200, 201):
            accepted.append("job-%06d" % number)

    # Users poll every accepted job about every 5 s at all nodes; nothing is wrong any more.
    begin, answered, polls, not_found = now(), {}, {}, []
    done = set()
    while now() - begin < WATCHED_S and len(done) < len(accepted) - 1:
        for job_id in accepted:
            status, answer = await users.poll(job_id)
            polls[job_id] = polls.get(job_id, 0) + 1
            if status == 200:
                answered[job_id] = now()
                if answer["stage"] == "done":
                    done.add(job_id)
            if status == 404:
                not_found.append(job_id)
        await asyncio.sleep(4.6)
    watched = now() - begin
    forgotten = [j for j in accepted if j not in answered and watched >= FORGOTTEN_S] + not_found
    started = sorted(j for j in accepted if any(j == p[0].split("/")[0] for w in world.workers.values()
                                                for p in w.pieces))
    world.record("watched %.0f s; accepted %s; answered %s; done %s; polls %s; on machines %s" % (
        watched, accepted, sorted(answered), sorted(done), polls, started))
    if forgotten:
        world.record("FORGOTTEN %s" % forgotten)
        print("rule broken: no poll was answered for %.0f s: %s" % (watched, forgotten))
        return 1
    if len(done) < len(accepted) - 1:
        world.record("accepted jobs neither forgotten nor done: %s" % sorted(set(accepted) - done))
        raise RuntimeError("not all jobs were done, though answered for")
    print("rule held")
    return 0


main(FOLDER, play)
