from troutswitch.decisions.forwarding.mean_tokens import MeanTokens


def test_means_begin_with_the_first_request_and_follow_later_ones() -> None:
    means = MeanTokens()
    means.add(100, is_batch=False)
    assert (means.online, means.batch) == (100, 0)
    for _ in range(200):
        means.add(300, is_batch=False)
        means.add(500, is_batch=True)
    assert round(means.online) == 300
    assert round(means.batch) == 500
