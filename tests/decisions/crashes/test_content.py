"""One request has one name in all its tries, and another request another one."""

from itertools import combinations

from troutswitch.decisions.crashes.content import content_key


def test_what_an_engine_reads_makes_the_name() -> None:
    asked = [
        ("h", "POST", "/a/x", b"body"),
        ("g", "POST", "/a/x", b"body"),
        ("h", "GET", "/a/x", b"body"),
        ("h", "POST", "/a/x?n=1", b"body"),
        ("h", "POST", "/a/x", b"other"),
        ("h", "POST", "/a/", b"xbody"),
    ]
    keys = [content_key(*each) for each in asked]
    assert keys[0] == content_key(*asked[0])
    assert all(one != other for one, other in combinations(keys, 2))
