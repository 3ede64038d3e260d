"""Standard input, output and error of a process that may have been started without them."""

import os

STANDARD_OUTPUT = 1
STANDARD_DESCRIPTORS = (0, STANDARD_OUTPUT, 2)


def open_missing_standard_streams() -> None:
    """Opens the null device for each standard descriptor that is closed.

    Otherwise the next socket gets its number, and what is written to the stream goes to a peer.
    Call it before anything else is opened.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # gets the lowest free number, which is this one
