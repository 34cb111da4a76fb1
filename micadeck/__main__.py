"""Starts a sidecar: `python -m micadeck`.

Exit codes; each exit writes a last line to standard error, unless the process was killed:

- 0: ended by SIGTERM or SIGINT;
- 1: can't listen or can't create the event loop, after all retries;
- 2: invalid configuration;
- 3: a defect of the program.
"""

from __future__ import annotations

import faulthandler
import sys

from micadeck.signals import ProcessSignals

EXIT_DEFECT = 3


def main() -> int:
    """Install the signal handlers first, then load and run the daemon; return the exit code."""
    faulthandler.enable()  # a crash in C code prints a traceback
    signals = ProcessSignals()
    signals.listen()
    try:
        from micadeck.daemon import run  # imported here because it takes a third of a second to load

        return run(signals)
    except Exception as defect:
        sys.excepthook(type(defect), defect, defect.__traceback__)
        cause = f"{type(defect).__name__}: {defect}".replace("\n", " ")
        print(f"ended: code {EXIT_DEFECT}, {cause}", file=sys.stderr, flush=True)
        return EXIT_DEFECT
    finally:
        signals.ignore()  # the interpreter restores the system's handlers as it exits


if __name__ == "__main__":
    sys.exit(main())
