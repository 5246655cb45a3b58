"""When failed calls show an outage, and not bad luck."""

from wheelstep.failure_test import FailureTest, Thresholds

MIN_SPAN_US = 200_000  # failures within less may have one cause, such as a lost connection
THRESHOLDS = Thresholds(
    sufficient=11.5,  # chance gives it once in some ten thousand calls
    min_span_us=MIN_SPAN_US,
    min_repeated=5,
    success_evidence=3.5,
    min_usual_share=0.05,
    usual_share_margin=2.0,
    usual_calls=32)


class OutageEvidence(FailureTest):
    """The evidence that outcomes give of an outage; where failures are frequent it takes more of them."""

    def __init__(self) -> None:
        super().__init__(THRESHOLDS)
