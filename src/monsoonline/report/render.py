"""Text and HTML output of the burn report."""

import io
import pathlib

import jinja2
import matplotlib.figure

from monsoonline.formatting import format_duration, format_number, format_table

__all__ = ["burn_page", "burn_text", "coverage_notes"]

TEMPLATE_PATH = pathlib.Path(__file__).with_name("burn.html")
BAR_HEIGHT_INCHES = 0.5
FIGURE_WIDTH_INCHES = 8.0


def coverage_notes(report):
    """Return sentences that describe which requests the figures do not include.

    :param report: :class:`monsoonline.report.burn.BurnReport`
    """
    sentences = []
    total = len(report.reached) + len(report.unreached)
    if report.unreached:
        sentences.append(
            f"{len(report.unreached)} of {total} entries could not be read: requests "
            "at these entries are missing from all figures, and the burn rates cover "
            "only the other entries. The worst case assumes that all requests at "
            "these entries failed."
        )
    if report.reached and report.shortest_history_ms < report.windows_ms[-1]:
        covered = format_duration(report.shortest_history_ms // 1000 * 1000)
        sentences.append(
            f"The youngest entry covers {covered}; longer windows miss earlier "
            "requests, and the counts of replaced entries are lost."
        )
    return sentences


def table_rows(report, budgets):
    """Yield a table row for each budget, with worst cases if entries are missing."""
    for budget in budgets:
        rates = [format_number(rate) for rate in budget.burn_rates]
        if report.unreached:
            worst = [format_number(rate) for rate in budget.worst_burn_rates]
            rates = [f"{r} ({w})" for r, w in zip(rates, worst, strict=True)]
        budget_left = budget.budget_left
        yield (
            budget.name,
            budget.department,
            f"{budget.objective:.4%}",
            str(budget.requests),
            "-" if budget_left is None else f"{budget_left:.1%}",
            *rates,
        )


def column_titles(report):
    """Return the column titles of the budget tables."""
    windows = [f"burn {format_duration(w)}" for w in report.windows_ms]
    return ("name", "department", "objective", "requests", "budget left", *windows)


def burn_text(report):
    """Return the report as plain text with aligned tables.

    :param report: :class:`monsoonline.report.burn.BurnReport`
    """
    header = column_titles(report)
    parts = [
        "Routes",
        format_table(header, table_rows(report, report.routes)),
        "",
        "Departments",
        format_table(header, table_rows(report, report.departments)),
        "",
        f"{len(report.reached)} entries read",
    ]
    parts += [f"unreachable: {address}: {error}" for address, error in report.unreached]
    parts += coverage_notes(report)
    return "\n".join(parts)


def burn_chart(report, budgets):
    """Return an SVG bar chart of the burn rates of budgets in each window."""
    figure = matplotlib.figure.Figure(
        figsize=(FIGURE_WIDTH_INCHES, 1.2 + BAR_HEIGHT_INCHES * max(1, len(budgets)))
    )
    axes = figure.subplots()
    thickness = 0.8 / len(report.windows_ms)
    for index, window in enumerate(report.windows_ms):
        positions = [row + index * thickness for row in range(len(budgets))]
        widths = [budget.burn_rates[index] or 0.0 for budget in budgets]
        axes.barh(positions, widths, thickness, label=format_duration(window))
    axes.axvline(1.0, color="black", linewidth=1.0, linestyle="--")
    axes.set_yticks(range(len(budgets)), [budget.name for budget in budgets])
    axes.invert_yaxis()
    axes.set_xlabel("burn rate (1 spends the error budget exactly)")
    axes.legend(title="window")
    figure.tight_layout()
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg")
    content = buffer.getvalue()
    return content[content.index("<svg") :]


def burn_page(report):
    """Return the report as a self-contained HTML page with charts.

    :param report: :class:`monsoonline.report.burn.BurnReport`
    """
    environment = jinja2.Environment(autoescape=True)
    template = environment.from_string(TEMPLATE_PATH.read_text())
    return template.render(
        report=report,
        header=column_titles(report),
        sections=[
            ("Routes", list(table_rows(report, report.routes)), report.routes),
            (
                "Departments",
                list(table_rows(report, report.departments)),
                report.departments,
            ),
        ],
        chart=lambda budgets: burn_chart(report, budgets),
        sentences=coverage_notes(report),
    )
