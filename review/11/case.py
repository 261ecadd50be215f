"""All processes are killed once the configuration has many routes."""
import asyncio
import json
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))
import sim

SERVICE = "huvo11a"
HOSTNAME, PREFIX = "nony24.example", "/lohu930/"
LINK_MBPS = 10
VALUE_BYTES = 1048576
GROWTHS = 4
ROUTES_EACH = 1300
DOWN_S = 1.5
RECOVER_S = 15
FINISH_S = 14
JOBS = 10


def route_of(number):
    return sim.route(f"r-{number:07x}", f"h{number % 40:03x}.example",
                     f"/p{number:06x}/", SERVICE)


async def case(deployment, trouble):
    routes = [sim.route("r-1", HOSTNAME, PREFIX, SERVICE)]
    deployment.configure(3, routes, [SERVICE])
    for i in range(6):
        await deployment.add_worker(
            f"i-{i:08x}", SERVICE, "zone-0", ["a", f"r{i // 3}"],
            {"cpu": 32000, "memMb": 128000, "gpu": 0})
    for i in range(3):
        await deployment.add_scheduler(f"edge-{i}", f"zone-{i}", share=0.12,
                                       memory_mb=160, mbps=LINK_MBPS)
    if not await deployment.all_ready():
        return 2
    await asyncio.sleep(2)
    for growth in range(GROWTHS):
        routes = routes + [route_of(growth * ROUTES_EACH + i)
                           for i in range(ROUTES_EACH)]
        size = deployment.configure(5 + 2 * growth, routes, [SERVICE])
        if size > VALUE_BYTES:
            return 2
        await asyncio.sleep(5)
    accepted = []
    rng = random.Random(15)
    step = {"count": 2, "cpu": 1000, "memMb": 500, "estimateMs": 4000}
    for i in range(JOBS):
        job = f"{rng.getrandbits(64):016x}"
        status, _ = await sim.call(
            deployment.schedulers[i % 3].front, "POST", PREFIX + job, HOSTNAME,
            {"spec": json.dumps({"ms": 4000}), "steps": [step]},
            fields=[("Deadline-Ms", "3000")])
        deployment.record.add(f"POST {job} -> {status}")
        if status == 200:
            accepted.append(job)
    if not accepted:
        return 2
    if trouble:
        for scheduler in deployment.schedulers:
            scheduler.signal(signal.SIGKILL)
        for scheduler in deployment.schedulers:
            await scheduler.process.wait()
        await asyncio.sleep(DOWN_S)
        for scheduler in deployment.schedulers:
            await scheduler.start()
    await asyncio.sleep(RECOVER_S + FINISH_S)
    for scheduler in deployment.schedulers:
        status, _ = await sim.call(scheduler.health, "GET", "/-/ready")
        deployment.record.add(f"GET /-/ready of {scheduler.name} -> {status}")
    for job in accepted:
        answers = [await sim.call(s.front, "GET", PREFIX + job, HOSTNAME)
                   for s in deployment.schedulers]
        deployment.record.add(f"GET {job} -> {answers}")
        if not any(status == 200 for status, _ in answers):
            deployment.problem(
                "LOST", f"accepted job {job}: no process tells its state, "
                f"{RECOVER_S + FINISH_S} s after the processes are back: "
                f"{[status for status, _ in answers]}")
    return 1 if deployment.problems else 0


sim.main(case, HERE, limit_s=118)
