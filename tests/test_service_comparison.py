"""Sums of service: what one broker is compared with another by."""

from heathwell import policy
from heathwell.broker.replies import Reply, ReplyKind
from heathwell.observability.digests import program_digest, settings_digest
from heathwell.service.service_statistics import ServiceStatistics

S = 1_000_000
SPEC = policy.QueryClass("one", S, 3 * S, late_weight=0.25, partial_weight=0.5)


def book_of(*tries):
    """Tries of one client: when asked, when ended, and how."""
    book = ServiceStatistics((SPEC,))
    for asked, ended, kind, whole in tries:
        book.asked(asked, "c", "k", "one")
        book.ended(ended, "c", "k", Reply(kind, "q", "one", whole))
    return book.sums["one"]


def test_an_answer_is_worth_its_time_and_wholeness():
    assert book_of((0, S, ReplyKind.ANSWERED, True))["worth"] == 1.0
    assert book_of((0, 2 * S, ReplyKind.ANSWERED, True))["worth"] == 0.25
    assert book_of((0, S, ReplyKind.ANSWERED, False))["worth"] == 0.5
    refused = book_of((0, S, ReplyKind.REFUSED, False))
    assert (refused["asked"], refused["worth"], refused["refused"]) == (1, 0.0, 1)


def test_a_retry_counts_with_its_first_try():
    sums = book_of((0, 1000, ReplyKind.REFUSED, False), (S // 2, S, ReplyKind.ANSWERED, True))
    assert (sums["asked"], sums["worth"], sums["refused"]) == (1, 1.0, 1)
    late = book_of((0, 1000, ReplyKind.REFUSED, False), (S // 2, 2 * S, ReplyKind.ANSWERED, True))
    assert (late["asked"], late["worth"]) == (1, 0.25)  # its aim runs from the first
    twice = book_of((0, S, ReplyKind.ANSWERED, True), (S, S + 10, ReplyKind.ANSWERED, True))
    assert (twice["asked"], twice["worth"]) == (1, 1.0)


def test_the_same_question_later_is_another_query():
    sums = book_of((0, S, ReplyKind.ANSWERED, True), (4 * S, 5 * S, ReplyKind.FAILED, False))
    assert (sums["asked"], sums["worth"], sums["failed"]) == (2, 1.0, 1)


def test_first_tries_are_kept_within_a_bound():
    book = ServiceStatistics((SPEC,))
    for n in range(10_000):
        book.asked(n, f"c{n}", "k", "one")
    assert len(book._first) <= 4_096


def test_digests_name_content_and_names(tmp_path):
    (tmp_path / "a.py").write_text("x = 1\n")
    first = program_digest(tmp_path)
    (tmp_path / "notes.txt").write_text("no source")
    assert program_digest(tmp_path) == first
    (tmp_path / "a.py").rename(tmp_path / "b.py")
    second = program_digest(tmp_path)
    (tmp_path / "b.py").write_text("x = 2\n")
    assert len({first, second, program_digest(tmp_path)}) == 3
    assert settings_digest(tmp_path / "b.py") != settings_digest(tmp_path / "notes.txt")
