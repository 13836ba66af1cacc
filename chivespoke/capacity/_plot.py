"""Bar chart of the cost of each role relative to its budget."""

import pathlib

from chivespoke.capacity import _model
from chivespoke.capacity import _slopes

FIGURE_SIZE = (10, 6)  # inches
DOTS_PER_INCH = 120


def draw_estimates(
    estimates: list[_model.Estimate], path: pathlib.Path
) -> None:
    """Draw each cost as a fraction of its budget, stacked by driver."""
    # Imported on demand: importing Matplotlib takes longer than running any
    # other command.
    from matplotlib import figure

    chart = figure.Figure(
        figsize=FIGURE_SIZE, dpi=DOTS_PER_INCH, layout='tight'
    )
    axes = chart.subplots()
    labels = [
        f'{estimate.role.value}: {estimate.measure.value}'
        for estimate in estimates
    ]
    totals = [0.0] * len(estimates)
    for driver in (None, *_slopes.Driver):
        widths = [_compute_share(estimate, driver) for estimate in estimates]
        if any(widths):
            name = driver.value if driver is not None else 'idle daemon'
            axes.barh(labels, widths, left=totals, label=name)
        totals = [
            total + width for total, width in zip(totals, widths, strict=True)
        ]
    axes.axvline(1.0, color='black', linestyle='--', label='budget')
    for index, total in enumerate(totals):
        axes.text(total, index, f' {total:.2f}', va='center')
    axes.set_xlabel('share of the budget of one daemon')
    # The costs of roles differ by orders of magnitude: the scale is linear
    # up to the budget and logarithmic above it.
    axes.set_xscale('symlog', linthresh=1.0)
    axes.set_xlim(0, max([1.0, *totals]) * 4)
    axes.invert_yaxis()
    axes.legend(loc='best')
    axes.set_title('Control cost of each role at the size of the fleet')
    chart.savefig(path)


def _compute_share(
    estimate: _model.Estimate, driver: _slopes.Driver | None
) -> float:
    cost = estimate.base if driver is None else estimate.parts.get(driver, 0.0)
    return cost / estimate.budget
