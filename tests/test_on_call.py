"""Every log line that the module writes stands on the on-call page."""

from __future__ import annotations

import re
from pathlib import Path

from micadeck.policy.outcomes import Outcome
from micadeck.policy.outlier_detection import FAILURE_OUTCOMES, SILENT_REASON

ROOT = Path(__file__).parent.parent
POLICY = ROOT / "micadeck" / "policy"
SOURCE = "".join(path.read_text(encoding="utf-8") for path in sorted(POLICY.glob("*.py")))
OUTLIERS = (POLICY / "outlier_detection.py").read_text(encoding="utf-8")


def test_every_log_line_stands_on_the_on_call_page() -> None:
    page = (ROOT / "docs" / "on-call.md").read_text(encoding="utf-8")
    written = re.findall(r'Log\(f?"(\w+) ', SOURCE)
    assert sorted(set(written)) == ["ejected", "readmitted"]
    assert SOURCE.count("Log(") == len(written)
    for word in written:
        assert f"`{word} SERVER" in page
    for reason in _reasons():
        assert f"`ejected S: {reason}`" in page


def _reasons() -> list[str]:
    """The reasons of all calls that eject; an unknown one fails."""
    reasons = []
    for given in re.findall(r"\.eject\(\s*[\w.]+, ([\w.]+)", SOURCE):
        if given == "SILENT_REASON":
            reasons.append(SILENT_REASON)
        elif given == "outcome.value":
            reasons += [each.value for each in FAILURE_OUTCOMES]
        else:
            named = re.fullmatch(r"Outcome\.(\w+)\.value", given)
            assert named is not None, given
            reasons.append(Outcome[named[1]].value)
    assert SOURCE.count(".eject(") == 4 and {"silent", "spoilt"} < set(reasons)
    return reasons


def test_only_the_failure_outcomes_eject_for_failures() -> None:
    judged = OUTLIERS[OUTLIERS.index("def record_outcome") : OUTLIERS.index("def _record_answer")]
    (listed,) = re.findall(r"elif outcome in (.*?):\n\s+self\._record_failure\(", judged)
    assert listed == "FAILURE_OUTCOMES"
    assert SOURCE.count("_record_failure(") == 2  # its definition, and this call


def test_every_line_of_the_sidecar_stands_on_the_on_call_page() -> None:
    page = (ROOT / "docs" / "on-call.md").read_text(encoding="utf-8")
    files = [
        each for each in (ROOT / "micadeck").rglob("*.py") if not {"stand_ins", "simulation"} & {*each.parts}
    ]
    source = "".join(each.read_text(encoding="utf-8") for each in files)
    written = re.findall(r'(?:log|print)\(\s*f?"([^"]*)"', source)
    assert len(written) >= 8
    for text in written:
        fixed = max(re.split(r"\{[^}]*\}", text), key=len).strip(" :")
        assert fixed and fixed in page, text
