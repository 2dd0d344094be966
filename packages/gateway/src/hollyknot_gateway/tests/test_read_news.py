"""Tests of telling peers which changes were read."""

from hollyknot_gateway._read_news import READ_NEWS_S, ReadNews
from hollyknot_state import ReadRevisions


class TestReadNews:
    """News are told in each report, later only in whole ones."""

    def test_a_change_is_told_at_once_and_for_a_while(self) -> None:
        read = [ReadRevisions(5, 7)]
        news = ReadNews(lambda: read[0], lambda _: None)
        assert news.told(0.0, is_whole=False) == read[0]
        assert news.told(READ_NEWS_S - 0.1, is_whole=False) == read[0]
        assert news.told(READ_NEWS_S + 0.1, is_whole=False) is None
        read[0] = ReadRevisions(5, 9)
        assert news.told(READ_NEWS_S + 0.2, is_whole=False) == read[0]

    def test_a_whole_report_always_tells(self) -> None:
        news = ReadNews(lambda: ReadRevisions(5, 7), lambda _: None)
        news.told(0.0, is_whole=False)
        late_s = 10 * READ_NEWS_S
        assert news.told(late_s, is_whole=True) == ReadRevisions(5, 7)

    def test_what_a_peer_has_read_is_handed_on(self) -> None:
        taken: list[ReadRevisions] = []
        news = ReadNews(ReadRevisions, taken.append)
        news.take(ReadRevisions(1, 2))
        assert taken == [ReadRevisions(1, 2)]
