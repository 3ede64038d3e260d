"""Metrics keep their names, types, label names and buckets.

Guards against operators' queries and alerts that no longer match a metric. Help texts may change.
Label values that come from log lines are checked for the log lines in `samples`; the label value
of `troutswitch_decisions` is the name of a log event.
"""

from tests.forms import samples
from tests.forms.forms import stored


def test_names_types_labels_and_buckets_are_unchanged() -> None:
    assert samples.metric_rows() == stored("metrics")["metrics"]


def test_metrics_text_after_log_lines_is_unchanged() -> None:
    assert samples.metrics_after_log_lines() == stored("metrics")["text after log lines"]
