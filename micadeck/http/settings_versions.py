"""Which settings a request falls under while they change.  No input or output.

New settings are known from the moment that they are read, but clients learn of them on their own: for a
while they go on naming the old classes, and sending requests in the form of the old ones.  So the settings in
force change `_LEARNT_US` later, or with the first request that only the new ones explain; and for a moment
after that a request that only the old ones explain still falls under them, and is served by their rules.
"""

from __future__ import annotations

from micadeck.policy.settings import Idempotency, ServiceClass, Settings

_LEARNT_US = 1_200_000  # from reading new settings to clients that follow them
STRAY_US = 300_000  # how much later a request by the old ones may still be on its way


class SettingsVersions:
    """The settings in force, those that come, and those before."""

    def __init__(self, settings: Settings) -> None:
        self._take(settings)
        self._coming: Settings | None = None
        self._due = 0
        self._former: dict[str, ServiceClass] = {}
        self._former_until = 0

    def _take(self, settings: Settings) -> None:
        self.settings = settings
        self.tenants = frozenset(each.name for each in settings.tenants)
        self.classes = {each.name: each for each in settings.classes}  # in force, by name

    @property
    def is_settled(self) -> bool:
        """Whether the time matters to nobody: no settings come, and none have just gone."""
        return self._coming is None and not self._former

    def announce(self, settings: Settings, now_us: int) -> int:
        """Let these come; they are due at the time that is given back.

        Those that were still to come have never been in force, and nobody needs them any more.
        """
        self._coming, self._due = settings, now_us + _LEARNT_US
        if settings == self.settings:
            self._coming = None  # a change that was still to come is taken back
        return self._due

    def turn(self, now_us: int) -> bool:
        """Put what is due in force, and forget what is over; say whether anything came into force."""
        if now_us >= self._former_until:
            self._former = {}
        if self._coming is None or now_us < self._due:
            return False
        self._advance(now_us)
        return True

    def _advance(self, now_us: int) -> None:
        assert self._coming is not None
        self._former, self._former_until = self.classes, now_us + STRAY_US
        self._take(self._coming)
        self._coming = None

    def find(self, name: str, repeat: Idempotency, now_us: int) -> tuple[ServiceClass, bool] | None:
        """The class that a request of this name and form falls under, and whether it is one of those before.

        None: there is no class of this name.  A class that does not go with the form is given all the same,
        for whoever words the complaint.
        """
        kind = self.classes.get(name)
        if kind is not None and kind.idempotency is repeat:
            return kind, False
        if self._coming is not None:
            comes = next((each for each in self._coming.classes if each.name == name), None)
            if comes is not None and comes.idempotency is repeat:
                self._advance(now_us)
                return comes, False
        if self._former and now_us < self._former_until:
            former = self._former.get(name)
            if former is not None and former.idempotency is repeat:
                return former, True
        return None if kind is None else (kind, False)
