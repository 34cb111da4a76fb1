"""A stand-in MySQL server on SQLite in memory with fault injection; `server`: protocol, `sql`: queries.

python -m micadeck.stand_ins.mysql --port 3306 --fault "tariff:rows=2:die"
"""

from micadeck.stand_ins.mysql.faults import Fault, FaultAction, Point
from micadeck.stand_ins.mysql.server import StandInMysql

__all__ = ["Fault", "FaultAction", "Point", "StandInMysql"]
