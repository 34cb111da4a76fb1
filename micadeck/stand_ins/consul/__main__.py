"""`python -m micadeck.stand_ins.consul [INSTANCES]`: prints its address, and serves until its input ends.

The service `tariff` has INSTANCES instances, in 10.0.0.0/16 where nothing listens.
"""

from __future__ import annotations

import asyncio
import sys

from micadeck.stand_ins.consul.server import StandInConsul
from micadeck.stand_ins.consul.state import NODE


async def _main(instances: int) -> None:
    consul = await StandInConsul().start()
    for number in range(instances):
        ident, address = f"t-{number}", f"10.0.{number >> 8 & 255}.{number & 255}"
        service = {"Name": "tariff", "ID": ident, "Address": address, "Port": 8_000, "Meta": {"zone": "a"}}
        consul.state.put_service(NODE, service)
        consul.state.put_check(NODE, f"service:{ident}", "passing", ident)
    print(consul.address, flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(_main(int(sys.argv[1]) if sys.argv[1:] else 0))
