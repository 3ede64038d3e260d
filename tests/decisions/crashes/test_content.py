"""All attempts of one request have the same key, and different requests have different keys."""

from itertools import combinations

from troutswitch.decisions.crashes.content import content_key, item_key, path_key, path_of_item


def test_key_depends_on_all_that_an_engine_reads() -> None:
    requests = [
        ("h", "POST", "/a/x", b"body"),
        ("g", "POST", "/a/x", b"body"),
        ("h", "GET", "/a/x", b"body"),
        ("h", "POST", "/a/x?n=1", b"body"),
        ("h", "POST", "/a/x", b"other"),
        ("h", "POST", "/a/", b"xbody"),
    ]
    keys = [content_key(*request) for request in requests]
    assert keys[0] == content_key(*requests[0])
    assert all(first != second for first, second in combinations(keys, 2))


def test_key_of_an_item_names_its_path() -> None:
    path = path_key("host", "job", "/p")
    item = item_key(path, b"body")
    assert path_of_item(item) == path
    assert item != item_key(path, b"other")
    assert path_of_item(path) == ""
    assert path_of_item(content_key("host", "POST", "/p", b"body")) == ""
