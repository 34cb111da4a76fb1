"""Starts a sidecar: `python -m micadeck`.

Exit codes, each with a last line on standard error; an end without one is a kill:

- 0: told to end, by SIGTERM or SIGINT;
- 1: it can't listen, or the event loop can't be made, after all waits;
- 2: the configuration is bad;
- 3: a defect of the program.
"""

from __future__ import annotations

import faulthandler
import sys

from micadeck.signals import ProcessSignals

EXIT_DEFECT = 3


def main() -> int:
    """Hear signals first, then load and run the daemon."""
    faulthandler.enable()  # a fault of the C level says where before it ends the process
    signals = ProcessSignals()
    signals.listen()
    try:
        from micadeck.daemon import run  # it takes a third of a second to load

        return run(signals)
    except Exception as defect:
        sys.excepthook(type(defect), defect, defect.__traceback__)
        told = f"{type(defect).__name__}: {defect}".replace("\n", " ")
        print(f"ended: code {EXIT_DEFECT}, {told}", file=sys.stderr, flush=True)
        return EXIT_DEFECT
    finally:
        signals.ignore()  # as the interpreter ends it would fall back to what the system does


if __name__ == "__main__":
    sys.exit(main())
