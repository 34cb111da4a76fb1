"""Collation ids of the handshake as arguments of SET NAMES (from INFORMATION_SCHEMA.COLLATIONS)."""

from __future__ import annotations

_COLLATIONS = """
1 big5_chinese_ci|3 dec8_swedish_ci|4 cp850_general_ci|8 latin1_swedish_ci|9 latin2_general_ci
11 ascii_general_ci
12 ujis_japanese_ci|13 sjis_japanese_ci|16 hebrew_general_ci|19 euckr_korean_ci|22 koi8u_general_ci
24 gb2312_chinese_ci|25 greek_general_ci|26 cp1250_general_ci|28 gbk_chinese_ci|30 latin5_turkish_ci
31 latin1_german2_ci|33 utf8_general_ci|36 cp866_general_ci|40 macroman_general_ci|41 cp852_general_ci
45 utf8mb4_general_ci|46 utf8mb4_bin|47 latin1_bin|48 latin1_general_ci|49 latin1_general_cs
51 cp1251_general_ci|57 cp1256_general_ci|59 cp1257_general_ci|63 binary|65 ascii_bin|83 utf8_bin
95 cp932_japanese_ci|97 eucjpms_japanese_ci|192 utf8_unicode_ci|224 utf8mb4_unicode_ci
246 utf8mb4_unicode_520_ci|248 gb18030_chinese_ci
"""

_BY_ID = {
    int(number): name
    for number, name in (each.split() for each in _COLLATIONS.replace("\n", "|").split("|") if each)
}
_FROM_8_0 = range(255, 324)  # utf8mb4 collations that older servers lack: only the character set is sent


def names_of(collation: int) -> str | None:
    """The argument of SET NAMES, or None for an unknown id."""
    if collation in _FROM_8_0:
        return "utf8mb4"
    name = _BY_ID.get(collation)
    if name is None:
        return None
    return name if name == "binary" else f"{name.partition('_')[0]} COLLATE {name}"
