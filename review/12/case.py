"""The owner is killed while many jobs wait, and links carry 10 Mbit/s."""
import asyncio
import json
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))
import sim

SERVICE = "huvo11a"
HOSTNAME, PREFIX = "nony24.example", "/lohu930/"
LINK_MBPS = 10
JOBS = 420
SPEC_BYTES = 4000
WORKERS = 6
TASK_MS = 3000
RECOVER_S = 15
FINISH_S = 14


async def submit(deployment, job, accepted):
    text = json.dumps({"ms": TASK_MS})
    spec = text + " " * (SPEC_BYTES - len(text))
    step = {"count": 1, "cpu": 8000, "memMb": 1000, "estimateMs": TASK_MS}
    for _ in range(5):
        port = random.choice(deployment.schedulers).front
        status, _ = await sim.call(
            port, "POST", PREFIX + job, HOSTNAME,
            {"spec": spec, "steps": [step]}, fields=[("Deadline-Ms", "3000")])
        deployment.record.add(f"POST {job} -> {status}")
        if status == 200:
            accepted.append(job)
            return
        await asyncio.sleep(0.5)


def owner_of(deployment):
    item = deployment.store.items.get("sequoiakeel/cell-0/inbox/owner")
    if item is None:
        return None
    import base64
    return json.loads(base64.b64decode(item["value"]))["node"]


async def case(deployment, trouble):
    deployment.configure(
        3, [sim.route("r-1", HOSTNAME, PREFIX, SERVICE)], [SERVICE])
    for i in range(WORKERS):
        await deployment.add_worker(
            f"i-{i:08x}", SERVICE, "zone-0", ["a", f"r{i // 3}"],
            {"cpu": 32000, "memMb": 128000, "gpu": 0})
    for i in range(3):
        await deployment.add_scheduler(f"edge-{i}", f"zone-{i}", share=0.12,
                                       memory_mb=160, mbps=LINK_MBPS)
    if not await deployment.all_ready():
        return 2
    await asyncio.sleep(2)
    accepted, sent = [], []
    rng = random.Random(12)
    for i in range(JOBS):
        job = f"{rng.getrandbits(64):016x}"
        sent.append(asyncio.ensure_future(submit(deployment, job, accepted)))
        await asyncio.sleep(0.03)
    await asyncio.gather(*sent)
    deployment.record.add(f"{len(accepted)} jobs accepted, "
                          f"{len(deployment.ends)} ended")
    killed = time.monotonic()
    if trouble:
        name = owner_of(deployment)
        victim = next(s for s in deployment.schedulers if s.name == name)
        victim.signal(signal.SIGKILL)
        await victim.process.wait()
        await asyncio.sleep(1)
        await victim.start()
    # Jobs wait and no worker has anything to do.
    idle_since = None
    while time.monotonic() - killed < 75:
        await asyncio.sleep(0.25)
        done = {task for _, _, task, _, how in deployment.ends
                if how == "done"}
        if len(done) >= len(accepted):
            break
        idle = not any(w.runs for w in deployment.workers.values())
        if time.monotonic() - killed < RECOVER_S or not idle:
            idle_since = None
            continue
        idle_since = idle_since or time.monotonic()
        if time.monotonic() - idle_since > 3 + FINISH_S:
            deployment.problem(
                "LOST", f"{len(accepted) - len(done)} accepted jobs have "
                f"nothing running for {time.monotonic() - idle_since:.1f} s "
                f"while all workers are idle, "
                f"{time.monotonic() - killed:.1f} s after the kill; the "
                f"owner is {owner_of(deployment)}")
            break
    if not deployment.problems and len(done) < len(accepted):
        deployment.problem("LOST", f"{len(accepted) - len(done)} jobs did not "
                           "end")
    for job in accepted[-3:]:
        answer = await sim.call(deployment.schedulers[0].front, "GET",
                                PREFIX + job, HOSTNAME)
        deployment.record.add(f"GET {job} -> {answer}")
    return 1 if deployment.problems else 0


sim.main(case, HERE, limit_s=118)
