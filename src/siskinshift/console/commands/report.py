"""Commands `report ...`: prints reports from the metrics of processes."""

from __future__ import annotations

from pathlib import Path

from siskinshift.console.arguments import parse_endpoints_argument
from siskinshift.console.registry import command


@command("report burn")
def report_burn(settings: str, targets: str, output: str = "text") -> str:
    """Shows how fast each service's and group's error budget burns.

    Scrapes the metrics of each process, which needs the metrics exporter prometheus.

    Example: siskinshift report burn site.ini 10.0.0.1:9464,10.0.0.2:9464 --output html

    Args:
        settings: Path of the INI file with section [objectives].
        targets: Metrics endpoints, comma-separated.
        output: Output format: text, json or html.
    """
    from siskinshift.report.burn_report import build_report
    from siskinshift.report.exceptions import MetricsUnreachableError
    from siskinshift.report.renderers import render_report
    from siskinshift.report.scrape import scrape_all
    from siskinshift.settings.generated import ObjectivesSettings
    from siskinshift.settings.loader import load_section

    objectives = load_section(Path(str(settings)), ObjectivesSettings)
    endpoints = parse_endpoints_argument(targets)
    scrape = scrape_all(endpoints)
    if len(scrape.unreachable_endpoints) == len(endpoints):
        raise MetricsUnreachableError(
            f"no answer from {', '.join(scrape.unreachable_endpoints)}"
        )
    return render_report(build_report(scrape, objectives), output)
