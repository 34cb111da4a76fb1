"""When a server that the list tells of can have started.  No input or output.

A list names starts by the wall clock of its machine; ages are measured on a clock that never steps.  The two
agree until somebody's wall clock is stepped.  So a start is believed only as far as the list itself allows:
it is not in the future, and a start that is new was not there at the word before.

Guards the rule on slow start: a cold server that passes for warm is pushed over.
"""

from __future__ import annotations

from micadeck.policy.settings import NOTIFICATION_DEADLINE_US

LONGEST_STEP_US = 2 * 3_600 * 1_000_000  # no step of a clock is taken for longer: what is older is old


def plausible_start(told: int, now: int, last_word: int | None, was_listed: bool) -> int:
    """The start of a server whose list names a new one; all are microseconds of one clock.

    `last_word`: when the list was heard before, None if it never was.  `was_listed`: whether the server stood
    on it with another start; one that did not may have run for a while before it was listed.
    """
    if last_word is None or now - told > LONGEST_STEP_US:
        return min(told, now)
    earliest = last_word if was_listed else last_word - NOTIFICATION_DEADLINE_US
    return min(max(told, earliest), now)
