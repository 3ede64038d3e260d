"""Metrics keep names, types, label names and buckets.

Guards against operators' queries and alerts that find no figure any more. Help texts may change.
Values of labels that come from log lines are held where the lines are told here; the label of
`troutswitch_decisions` is the name of a log event.
"""

from tests.forms import samples
from tests.forms.forms import stored


def test_names_types_labels_and_buckets() -> None:
    assert samples.metric_rows() == stored("metrics")["metrics"]


def test_text_after_log_lines() -> None:
    assert samples.metrics_of_lines() == stored("metrics")["text after log lines"]
