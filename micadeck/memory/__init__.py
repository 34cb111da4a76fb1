"""The process's memory: what is charged, what is resident, and the resulting pressure level.

`budget` does no I/O, `resident` reads what the operating system reports, and `monitor` samples it on a timer.
"""
