"""A client-side load balancer: the daemon (`python -m micadeck`) and, as a library, `Micadeck`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from micadeck.library import Answer, FailedError, Kind, Micadeck, RefusedError

__all__ = ["Answer", "FailedError", "Kind", "Micadeck", "RefusedError"]


def __getattr__(name: str) -> Any:
    # Imported on first use, so that the daemon does not load the library.
    if name in __all__:
        from micadeck import library

        return getattr(library, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
