"""What the file behind the key `fleet` says; raises FleetConfigError, naming the key, on nonsense."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec

from micadeck.errors import MicadeckError
from micadeck.fleet.authentication import Keys
from micadeck.fleet.member_records import MOST_NAME, Name
from micadeck.fleet.settings import FleetSettings
from micadeck.network import Address, parse_address


class FleetConfigError(MicadeckError, ValueError):
    """The fleet's file can't be used."""

    advice = "Mend that key of the fleet's file; the one in force stays until then."


class KeyFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One of the keys: its number, and the file that holds its hexadecimal digits."""

    number: Annotated[int, msgspec.Meta(ge=0, le=255)]
    file: str


class _File(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    keys: Annotated[list[KeyFile], msgspec.Meta(min_length=1, max_length=2)]
    region: Annotated[str, msgspec.Meta(max_length=32)] = ""
    advertise: str = ""  # where the others reach this member; empty: at `peer_listen`
    settings: FleetSettings = FleetSettings()


class FleetConfig(msgspec.Struct, frozen=True):
    """The fleet's file, read."""

    keys: Keys
    region: str
    advertise: Address | None
    settings: FleetSettings


def load(path: str) -> FleetConfig:
    """Read the file and the keys beside it."""
    try:
        given = msgspec.toml.decode(Path(path).read_bytes(), type=_File)
    except OSError as fault:
        raise FleetConfigError(f"{path} can't be read: {fault.strerror}.") from None
    except msgspec.MsgspecError as nonsense:
        raise FleetConfigError(f"{path}: {nonsense}.") from None
    try:
        keys = Keys(tuple((each.number, _key(Path(path).parent, each)) for each in given.keys))
        advertise = parse_address(given.advertise) if given.advertise else None
    except FleetConfigError:
        raise
    except ValueError as nonsense:
        raise FleetConfigError(f"{path}: {nonsense}.") from None
    return FleetConfig(keys, given.region, advertise, given.settings)


def _key(folder: Path, of: KeyFile) -> bytes:
    try:
        return bytes.fromhex((folder / of.file).read_text(encoding="ascii").strip())
    except OSError as fault:
        raise FleetConfigError(f"keys: {of.file} can't be read: {fault.strerror}.") from None
    except ValueError:
        raise FleetConfigError(f"keys: {of.file}: hexadecimal digits are needed.") from None


def check_name(name: str) -> None:
    """Raise ValueError if a member can't have this name."""
    try:
        msgspec.convert(name, Name)
    except msgspec.ValidationError:
        raise ValueError(f"a member's has 1 to {MOST_NAME} characters of ASCII without blanks") from None
