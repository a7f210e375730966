"""Bytes that the kernel holds for a connection."""

import fcntl
import struct
import termios

__all__ = ["unacknowledged_bytes"]

INT = struct.Struct("i")


def unacknowledged_bytes(connection):
    """Return the number of bytes sent that the peer has not acknowledged.

    :returns: 0 where the system does not tell
    """
    try:
        packed = fcntl.ioctl(connection, termios.TIOCOUTQ, bytes(INT.size))
    except OSError:
        return 0
    return INT.unpack(packed)[0]
