"""When failed calls show an outage, and not bad luck."""

from wheelstep.failure_test import FailureTest

CONCLUSIVE = 11.5  # evidence that shows an outage: chance gives it once in some ten thousand calls
MIN_SPAN_US = 200_000  # failures within less may have one cause, such as a lost connection
SUCCESS_EVIDENCE = 2.0  # evidence that a success takes away
MIN_USUAL_SHARE = 0.05  # share of failures that is usual at least
USUAL_SHARE_CALLS = 32  # calls over which the usual share of failures is averaged


class OutageEvidence(FailureTest):
    """The evidence that outcomes give of an outage; where failures are frequent it takes more of them."""

    def __init__(self) -> None:
        super().__init__(CONCLUSIVE, MIN_SPAN_US, SUCCESS_EVIDENCE, MIN_USUAL_SHARE, USUAL_SHARE_CALLS)
