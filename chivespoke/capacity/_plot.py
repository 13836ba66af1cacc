"""A picture of what each role costs beside its budget."""

import pathlib

from chivespoke.capacity import _model
from chivespoke.capacity import _slopes

# Inches, and dots an inch.
SIZE = (10, 6)
RESOLUTION = 120


def draw_estimates(
    estimates: list[_model.Estimate], path: pathlib.Path
) -> None:
    """Draw each cost as a share of its budget, stacked by what drives it."""
    # Imported here: it takes longer than every other command does.
    from matplotlib import figure

    drawing = figure.Figure(figsize=SIZE, dpi=RESOLUTION, layout='tight')
    axes = drawing.subplots()
    labels = [
        f'{estimate.role.value}: {estimate.measure.value}'
        for estimate in estimates
    ]
    starts = [0.0] * len(estimates)
    for part in (None, *_slopes.Driver):
        widths = [_find_share(estimate, part) for estimate in estimates]
        if any(widths):
            name = part.value if part is not None else 'idle daemon'
            axes.barh(labels, widths, left=starts, label=name)
        starts = [
            start + width for start, width in zip(starts, widths, strict=True)
        ]
    axes.axvline(1.0, color='black', linestyle='--', label='budget')
    for index, total in enumerate(starts):
        axes.text(total, index, f' {total:.2f}', va='center')
    axes.set_xlabel('share of the budget of one daemon')
    # Roles lie far apart: within the budget the scale is even, then by
    # powers of ten.
    axes.set_xscale('symlog', linthresh=1.0)
    axes.set_xlim(0, max([1.0, *starts]) * 4)
    axes.invert_yaxis()
    axes.legend(loc='best')
    axes.set_title('Control cost of each role at the size of the fleet')
    drawing.savefig(path)


def _find_share(
    estimate: _model.Estimate, part: _slopes.Driver | None
) -> float:
    amount = estimate.base if part is None else estimate.parts.get(part, 0.0)
    return amount / estimate.budget
