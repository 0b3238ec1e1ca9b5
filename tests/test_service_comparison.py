"""Service statistics, by which brokers are compared, and digests of programs and settings."""

from heathwell import policy
from heathwell.broker.replies import Reply, ReplyKind
from heathwell.observability.digests import program_digest, settings_digest
from heathwell.service.service_statistics import ServiceStatistics

SECOND_US = 1_000_000
QUERY_CLASS = policy.QueryClass("one", SECOND_US, 3 * SECOND_US, late_weight=0.25, partial_weight=0.5)


def sums_of(*requests):
    """Return the sums over one client's requests for a key.

    A request is its start and end in microseconds, the kind of its reply, and whether that is complete.
    """
    statistics = ServiceStatistics((QUERY_CLASS,))
    for started_at_us, ended_at_us, kind, is_complete in requests:
        statistics.record_query(started_at_us, "c", "k", "one")
        statistics.record_reply(ended_at_us, "c", "k", Reply(kind, "q", "one", is_complete))
    return statistics.sums["one"]


def test_the_weight_of_an_answer_depends_on_latency_and_completeness():
    assert sums_of((0, SECOND_US, ReplyKind.ANSWERED, True))["worth"] == 1.0
    assert sums_of((0, 2 * SECOND_US, ReplyKind.ANSWERED, True))["worth"] == 0.25
    assert sums_of((0, SECOND_US, ReplyKind.ANSWERED, False))["worth"] == 0.5
    rejected = sums_of((0, SECOND_US, ReplyKind.REFUSED, False))
    assert (rejected["asked"], rejected["worth"], rejected["refused"]) == (1, 0.0, 1)


def test_a_retry_counts_as_one_query_with_its_first_attempt():
    sums = sums_of((0, 1000, ReplyKind.REFUSED, False), (SECOND_US // 2, SECOND_US, ReplyKind.ANSWERED, True))
    assert (sums["asked"], sums["worth"], sums["refused"]) == (1, 1.0, 1)
    late = sums_of(
        (0, 1000, ReplyKind.REFUSED, False), (SECOND_US // 2, 2 * SECOND_US, ReplyKind.ANSWERED, True)
    )
    assert (late["asked"], late["worth"]) == (1, 0.25)  # the objective runs from the first attempt
    twice = sums_of(
        (0, SECOND_US, ReplyKind.ANSWERED, True), (SECOND_US, SECOND_US + 10, ReplyKind.ANSWERED, True)
    )
    assert (twice["asked"], twice["worth"]) == (1, 1.0)


def test_a_later_request_for_the_same_key_is_another_query():
    sums = sums_of(
        (0, SECOND_US, ReplyKind.ANSWERED, True), (4 * SECOND_US, 5 * SECOND_US, ReplyKind.FAILED, False)
    )
    assert (sums["asked"], sums["worth"], sums["failed"]) == (2, 1.0, 1)


def test_records_of_first_attempts_are_bounded():
    statistics = ServiceStatistics((QUERY_CLASS,))
    for number in range(10_000):
        statistics.record_query(number, f"c{number}", "k", "one")
    assert len(statistics._first_requests) <= 4_096


def test_digests_depend_on_content_and_names_of_source_files(tmp_path):
    (tmp_path / "a.py").write_text("x = 1\n")
    first = program_digest(tmp_path)
    (tmp_path / "notes.txt").write_text("no source")
    assert program_digest(tmp_path) == first
    (tmp_path / "a.py").rename(tmp_path / "b.py")
    second = program_digest(tmp_path)
    (tmp_path / "b.py").write_text("x = 2\n")
    assert len({first, second, program_digest(tmp_path)}) == 3
    assert settings_digest(tmp_path / "b.py") != settings_digest(tmp_path / "notes.txt")
