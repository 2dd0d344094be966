"""Tests of the text that is served to a scraper."""

from hollyknot_gateway._metrics import FIRST_EVENT_SECONDS, REQUESTS, Metrics


class TestMetrics:
    """Tests of the Prometheus text format."""

    def test_renders_counters_histograms_and_gauges(self) -> None:
        metrics = Metrics()
        metrics.count(REQUESTS, route="r1", status="200")
        metrics.count(REQUESTS, route="r1", status="200")
        metrics.observe(FIRST_EVENT_SECONDS, 0.03, route="r1")
        metrics.observe(FIRST_EVENT_SECONDS, 99.0, route="r1")
        metrics.gauge("hollyknot_ready", lambda: 1.0)
        lines = metrics.render().decode().splitlines()
        assert 'hollyknot_requests_total{route="r1",status="200"} 2' in lines
        assert "hollyknot_ready 1.0" in lines
        buckets = [
            line
            for line in lines
            if line.startswith(f"{FIRST_EVENT_SECONDS}_bucket")
        ]
        assert (
            f'{FIRST_EVENT_SECONDS}_bucket{{le="0.05",route="r1"}} 1' in buckets
        )
        assert (
            f'{FIRST_EVENT_SECONDS}_bucket{{le="+Inf",route="r1"}} 2' in buckets
        )
        assert f'{FIRST_EVENT_SECONDS}_count{{route="r1"}} 2' in lines

    def test_renders_again_what_has_been_counted_since(self) -> None:
        """Guards against a host that answers only its first scrape."""
        metrics = Metrics()
        metrics.gauge("hollyknot_ready", lambda: 1.0)
        metrics.count(REQUESTS, route="r1", status="200")
        metrics.render()
        metrics.count(REQUESTS, route="r1", status="200")
        lines = metrics.render().decode().splitlines()
        assert 'hollyknot_requests_total{route="r1",status="200"} 2' in lines
        assert "hollyknot_ready 1.0" in lines
