"""The process's memory: what is buffered for others, what is resident, and the pressure level that follows.

`budget` does no I/O, `resident` reads what the operating system reports, and `monitor` samples it on a timer.
"""
