"""Constants of the MySQL client/server protocol, with its documented names."""

from __future__ import annotations

from enum import IntEnum, IntFlag, unique

MAX_PAYLOAD_BYTES = 0xFF_FF_FF  # per packet; a payload continues after a packet of this length
NULL = 0xFB
LOCAL_INFILE = 0xFB


class Capability(IntFlag):
    """Protocol::CapabilityFlags."""

    LONG_PASSWORD = 1
    FOUND_ROWS = 1 << 1
    LONG_FLAG = 1 << 2
    CONNECT_WITH_DB = 1 << 3
    NO_SCHEMA = 1 << 4
    COMPRESS = 1 << 5
    ODBC = 1 << 6
    LOCAL_FILES = 1 << 7
    IGNORE_SPACE = 1 << 8
    PROTOCOL_41 = 1 << 9
    INTERACTIVE = 1 << 10
    SSL = 1 << 11
    IGNORE_SIGPIPE = 1 << 12
    TRANSACTIONS = 1 << 13
    RESERVED = 1 << 14
    SECURE_CONNECTION = 1 << 15
    MULTI_STATEMENTS = 1 << 16
    MULTI_RESULTS = 1 << 17
    PS_MULTI_RESULTS = 1 << 18
    PLUGIN_AUTH = 1 << 19
    CONNECT_ATTRS = 1 << 20
    PLUGIN_AUTH_LENENC_CLIENT_DATA = 1 << 21
    CAN_HANDLE_EXPIRED_PASSWORDS = 1 << 22
    SESSION_TRACK = 1 << 23
    DEPRECATE_EOF = 1 << 24
    OPTIONAL_RESULTSET_METADATA = 1 << 25
    ZSTD_COMPRESSION = 1 << 26
    QUERY_ATTRIBUTES = 1 << 27


class Status(IntFlag):
    """SERVER_STATUS flags of OK and EOF packets."""

    IN_TRANS = 1
    AUTOCOMMIT = 2
    MORE_RESULTS = 8
    NO_GOOD_INDEX = 0x10
    NO_INDEX = 0x20
    CURSOR_EXISTS = 0x40
    LAST_ROW_SENT = 0x80
    DB_DROPPED = 0x100
    NO_BACKSLASH_ESCAPES = 0x200
    METADATA_CHANGED = 0x400
    QUERY_WAS_SLOW = 0x800
    PS_OUT_PARAMS = 0x1000
    IN_TRANS_READONLY = 0x2000
    SESSION_STATE_CHANGED = 0x4000


@unique
class Command(IntEnum):
    """First byte of a command."""

    SLEEP = 0x00
    QUIT = 0x01
    INIT_DB = 0x02
    QUERY = 0x03
    FIELD_LIST = 0x04
    CREATE_DB = 0x05
    DROP_DB = 0x06
    REFRESH = 0x07
    SHUTDOWN = 0x08
    STATISTICS = 0x09
    PROCESS_INFO = 0x0A
    CONNECT = 0x0B
    PROCESS_KILL = 0x0C
    DEBUG = 0x0D
    PING = 0x0E
    TIME = 0x0F
    DELAYED_INSERT = 0x10
    CHANGE_USER = 0x11
    BINLOG_DUMP = 0x12
    TABLE_DUMP = 0x13
    CONNECT_OUT = 0x14
    REGISTER_SLAVE = 0x15
    STMT_PREPARE = 0x16
    STMT_EXECUTE = 0x17
    STMT_SEND_LONG_DATA = 0x18
    STMT_CLOSE = 0x19
    STMT_RESET = 0x1A
    SET_OPTION = 0x1B
    STMT_FETCH = 0x1C
    DAEMON = 0x1D
    BINLOG_DUMP_GTID = 0x1E
    RESET_CONNECTION = 0x1F


class ErrorCode(IntEnum):
    """Server errors that the sidecar reads or writes."""

    CON_COUNT = 1040
    HANDSHAKE = 1043
    DBACCESS_DENIED = 1044
    ACCESS_DENIED = 1045
    NO_DB = 1046
    UNKNOWN_COM = 1047
    BAD_DB = 1049
    SERVER_SHUTDOWN = 1053
    PARSE = 1064
    UNKNOWN = 1105
    PACKET_TOO_LARGE = 1153
    PACKETS_OUT_OF_ORDER = 1156
    LOCK_DEADLOCK = 1213
    UNKNOWN_STMT_HANDLER = 1243
    NOT_SUPPORTED = 1235
    OPTION_PREVENTS_STATEMENT = 1290
    QUERY_INTERRUPTED = 1317
    MALFORMED_PACKET = 1835
    QUERY_TIMEOUT = 3024


class CursorType(IntFlag):
    """Flags of COM_STMT_EXECUTE."""

    READ_ONLY = 1
    FOR_UPDATE = 2
    SCROLLABLE = 4
    PARAMETER_COUNT_AVAILABLE = 8


NATIVE = b"mysql_native_password"
CACHING_SHA2 = b"caching_sha2_password"
UTF8MB4 = 45  # utf8mb4_general_ci, supported by all servers since 5.5
