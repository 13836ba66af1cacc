"""The group of benchmark commands, each imported when it is called."""

import cyclopts

EPILOGUE = """\
Every command takes --json. Example:

  chivespoke bench slopes --json > slopes.json
"""

BENCH = cyclopts.App(
    name='bench',
    help='Measure speeds and costs on this machine.',
    help_epilogue=EPILOGUE,
)
BENCH.command(
    'chivespoke.cli._bench_policy:show_policy',
    name='policy',
    help='Compare the policies on a seeded model of workers.',
)
BENCH.command(
    'chivespoke.cli._slopes:show_slopes',
    name='slopes',
    help='Measure how the resource use of daemons grows with load.',
)
BENCH.command(
    'chivespoke.cli._bench_tasks:show_faults',
    name='faults',
    help='Run tasks under random faults and check invariants.',
)
BENCH.command(
    'chivespoke.cli._bench_platform:show_log',
    name='log',
    help='Measure the log client: appends, bytes, replay, snapshots.',
)
BENCH.command(
    'chivespoke.cli._bench_platform:show_config',
    name='config',
    help='Measure the configuration: rollout, replay, cost of an entry.',
)
BENCH.command(
    'chivespoke.cli._bench_tasks:show_placement',
    name='placement',
    help='Measure decision cost, urgent starts and taking out a data centre.',
)
BENCH.command(
    'chivespoke.cli._bench_routing:show_requests',
    name='requests',
    help='Run requests under random faults and check invariants.',
)
BENCH.command(
    'chivespoke.cli._bench_routing:show_routing',
    name='routing',
    help='Measure the request path and compare it with naive routing.',
)
BENCH.command(
    'chivespoke.cli._bench_soak:show_soak',
    name='soak',
    help='Run real daemons under faults and check what callers see.',
)
