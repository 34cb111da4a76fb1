"""A stand-in MySQL server over SQLite in memory, with faults on command; `server` speaks, `sql` answers.

python -m micadeck.stand_ins.mysql --port 3306 --fault "tariff:rows=2:die"
"""

from micadeck.stand_ins.mysql.server import Fault, Point, StandInMysql, What

__all__ = ["Fault", "Point", "StandInMysql", "What"]
