"""Print the output of commands as tables or as JSON."""

import collections.abc
import sys
import typing

import cyclopts
import msgspec
import rich.console
import rich.progress
import rich.table
import rich.text

from chivespoke.cli import _exit_codes
from chivespoke import errors

# Width in characters when the output is not a terminal.
PIPE_WIDTH = 100
# Smallest number that is printed without decimals.
MIN_WHOLE_NUMBER = 1000

JsonFlag = typing.Annotated[
    bool,
    cyclopts.Parameter(
        name='--json', negative=(), help='Print JSON for programs.'
    ),
]


def make_console(to_stderr: bool = False) -> rich.console.Console:
    """Return a console on standard output, or on standard error."""
    stream = sys.stderr if to_stderr else sys.stdout
    width = None if stream.isatty() else PIPE_WIDTH
    return rich.console.Console(
        file=stream, width=width, highlight=False, soft_wrap=False
    )


def print_json(value: typing.Any) -> None:
    """Print a value as indented JSON."""
    text = msgspec.json.format(msgspec.json.encode(value), indent=2)
    sys.stdout.write(text.decode() + '\n')


def print_line(text: str) -> None:
    """Print one line of plain text, without markup."""
    make_console().print(text, markup=False)


def print_table(
    title: str,
    columns: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[object]],
) -> None:
    """Print a table; columns of numbers are right-aligned."""
    table = rich.table.Table()
    body = [list(row) for row in rows]
    for index, column in enumerate(columns):
        cells = [row[index] for row in body]
        numeric = bool(cells) and all(
            isinstance(cell, int | float) for cell in cells
        )
        table.add_column(column, justify='right' if numeric else 'left')
    for row in body:
        table.add_row(*(_format_cell(cell) for cell in row))
    console = make_console()
    console.print(title, markup=False, soft_wrap=True)
    console.print(table)


def make_progress() -> rich.progress.Progress:
    """Return a progress display on standard error for a long command."""
    return rich.progress.Progress(
        rich.progress.TextColumn('{task.description}'),
        rich.progress.BarColumn(),
        rich.progress.MofNCompleteColumn(),
        rich.progress.TimeElapsedColumn(),
        console=make_console(to_stderr=True),
        transient=True,
    )


def print_error(error: errors.ChivespokeError) -> None:
    """Print the failed step, its peer, the cause, and what to do next."""
    console = make_console(to_stderr=True)
    console.print(
        f'error: {error.step}: {error.peer}: {error.detail}',
        markup=False,
        soft_wrap=True,
    )
    print_next_step(_exit_codes.find_next_step(error))


def print_next_step(sentence: str) -> None:
    """Print what the user can do next."""
    console = make_console(to_stderr=True)
    console.print(f'next: {sentence}', markup=False, soft_wrap=True)


def _format_cell(cell: object) -> rich.text.Text:
    if isinstance(cell, float):
        # Smaller numbers keep four significant digits.
        is_large = abs(cell) >= MIN_WHOLE_NUMBER
        return rich.text.Text(f'{cell:,.0f}' if is_large else f'{cell:.4g}')
    return rich.text.Text(str(cell))
