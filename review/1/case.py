"""Case: a gang that fits nowhere keeps the jobs of a lower priority from starting."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
from standins import Deployment, Worker, run_case  # noqa: E402

HOPELESS, JOB = "5c0e7a21d94b36f8", "6d1f8b32ea5c47a9"
WORK_MS, OTHERS_MS = 2700, 300
WORKERS = 6
# Each worker has room for 9 members, so that the gang lacks room for 6.
MEMBERS = 60
CPU, MEMORY = 3500, 6400
# `finish_s`: jobs are asked for so long after the end of the traffic.
FINISH_S = 14
WAIT_S = 45
# Small jobs that are handed in beside, so that one request in 26 is hopeless.
OTHERS = 24


async def case(record, trouble):
    deployment = Deployment(record, {
        "quote": {"priority": 0, "attempts": 4}, "order": {"priority": 2, "attempts": 4}})
    deployment.work = lambda task: WORK_MS if task.startswith((HOPELESS, JOB)) else OTHERS_MS
    await deployment.start([Worker(deployment, f"i-7f3a91c{i}", f"r1-{i // 2}")
                            for i in range(WORKERS)])
    small = {"count": 1, "cpu": 1000, "memMb": 1000, "estimateMs": OTHERS_MS}
    for index in range(OTHERS // 2):
        await deployment.submit("quote", f"{index:016x}", [small])
    if trouble:
        await deployment.submit("quote", HOPELESS, [
            {"count": MEMBERS, "cpu": CPU, "memMb": MEMORY, "estimateMs": WORK_MS,
             "gang": True}])
    for index in range(OTHERS // 2, OTHERS):
        await deployment.submit("quote", f"{index:016x}", [small])
    await asyncio.sleep(2)
    await deployment.submit("order", JOB, [
        {"count": 4, "cpu": CPU, "memMb": MEMORY, "estimateMs": WORK_MS}])
    return await deployment.starts("order", JOB, FINISH_S, WAIT_S)


run_case(HERE, case)
