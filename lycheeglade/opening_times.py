"""Times that are left for a new connection, as its messages carry them.

They are counted from the caller's first opening segment, and each process
subtracts the time for which it held the opening.
"""

from lycheeglade.relay_message import ForwardSegment

# A caller's attempt to open a connection ends this long after its first
# opening segment.
CALLER_ATTEMPT_S = 1.4
# Callers repeat an opening segment after these times, give or take
# COPY_MARGIN_S.
COPY_DELAYS_S = (0.2, 0.6)
COPY_MARGIN_S = 0.03
# `time_left` of an opening whose caller has given up; 0 means unknown.
EXPIRED_S = -1.0


def is_timed(message: ForwardSegment) -> bool:
    """Return whether the times that are left for an opening are known."""
    return message.aim_left != 0.0 or message.time_left != 0.0


def times_left(aim: float, timeout: float, age: float) -> tuple[float, float]:
    """Return `aim_left` and `time_left` of an opening segment.

    Parameters
    ----------
    aim : float
        Seconds within which an answer has its full worth, 0 if unknown.
    timeout : float
        Seconds after which the caller abandons the request.
    age : float
        Seconds since the caller's first opening segment.

    Returns
    -------
    tuple of float
        Seconds, both 0 if `aim` is unknown.
    """
    if aim <= 0.0:
        return 0.0, 0.0
    return reduce_times(aim, min(CALLER_ATTEMPT_S, timeout), age)


def reduce_times(
    aim_left: float, time_left: float, elapsed: float
) -> tuple[float, float]:
    """Return `aim_left` and `time_left` in seconds after `elapsed` seconds."""
    if aim_left == 0.0 and time_left == 0.0:
        return 0.0, 0.0
    remaining = time_left - elapsed
    return aim_left - elapsed, remaining if remaining > 0.0 else EXPIRED_S
