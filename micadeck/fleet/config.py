"""The fleet's file: the TOML file that the configuration's key `fleet` names, with its key files."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec

from micadeck.errors import MicadeckError
from micadeck.fleet.authentication import Keys
from micadeck.fleet.member_records import MAX_NAME_BYTES, MemberName
from micadeck.fleet.settings import FleetSettings
from micadeck.network import Address, parse_address


class FleetConfigError(MicadeckError, ValueError):
    """The fleet's file can't be used."""

    advice = "Mend that key of the fleet's file; the one in force stays until then."

    @classmethod
    def unreadable(cls, file: str, error: OSError) -> FleetConfigError:
        """Return the error for a file that can't be read."""
        return cls(f"{file} can't be read: {error.strerror}.")

    @classmethod
    def invalid(cls, file: str, reason: object) -> FleetConfigError:
        """Return the error for a file whose contents can't be used."""
        return cls(f"{file}: {reason}.")


class KeyFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One of the keys: its number, and the file that holds its hexadecimal digits."""

    number: Annotated[int, msgspec.Meta(ge=0, le=255)]
    file: str


class _FleetFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The keys as written in the file."""

    keys: Annotated[list[KeyFile], msgspec.Meta(min_length=1, max_length=2)]
    region: Annotated[str, msgspec.Meta(max_length=32)] = ""
    advertise: str = ""  # the address that the others use for this member; empty: `peer_listen`
    settings: FleetSettings = FleetSettings()


class FleetConfig(msgspec.Struct, frozen=True):
    """The contents of the fleet's file, with its keys loaded."""

    keys: Keys
    region: str
    advertise: Address | None
    settings: FleetSettings


def load(path: str) -> FleetConfig:
    """Read the fleet's file and its key files.

    Args:
        path: The path of the TOML file.

    Raises:
        FleetConfigError: If a file can't be read or a value can't be used; it names the key.
    """
    try:
        contents = msgspec.toml.decode(Path(path).read_bytes(), type=_FleetFile)
    except OSError as error:
        raise FleetConfigError.unreadable(path, error) from None
    except msgspec.MsgspecError as error:
        raise FleetConfigError.invalid(path, error) from None
    directory = Path(path).parent
    try:
        keys = Keys(tuple((key_file.number, _read_key(directory, key_file)) for key_file in contents.keys))
        advertise = parse_address(contents.advertise) if contents.advertise else None
    except FleetConfigError:
        raise
    except ValueError as error:
        raise FleetConfigError.invalid(path, error) from None
    return FleetConfig(keys, contents.region, advertise, contents.settings)


def check_name(name: str) -> None:
    """Check that a name is valid for a member.

    Raises:
        ValueError: It is not.
    """
    try:
        msgspec.convert(name, MemberName)
    except msgspec.ValidationError:
        rule = f"a member's name has 1 to {MAX_NAME_BYTES} printable ASCII characters without spaces"
        raise ValueError(rule) from None


def _read_key(directory: Path, key_file: KeyFile) -> bytes:
    label = f"keys: {key_file.file}"
    try:
        return bytes.fromhex((directory / key_file.file).read_text(encoding="ascii").strip())
    except OSError as error:
        raise FleetConfigError.unreadable(label, error) from None
    except ValueError:
        raise FleetConfigError.invalid(label, "hexadecimal digits are needed") from None
