"""Tables for a terminal; plain text if standard output is not a terminal."""

from collections import Counter

from rich.console import Console
from rich.table import Table

from thorndale.standins.audit import RULES
from thorndale.standins.day import leaks

COLUMNS = (
    "offered",
    "redials",
    "stood",
    "in time",
    "rejected",
    "released",
    "left",
    "cut",
    "no answer",
    "gave up",
    "lost",
    "refused",
)
MAX_BREAKS_SHOWN = 20


def _table(title, first, rows, columns):
    used_columns = [c for c in columns if any(row.get(c) for _, row in rows)]
    table = Table(title=title, title_justify="left")
    table.add_column(first)
    for column in used_columns:
        table.add_column(column, justify="right")
    for name, row in rows:
        table.add_row(str(name), *(str(row.get(c, 0)) for c in used_columns))
    return table


def print_day(player, breaks, seconds):
    """Prints the result of a day: by call type and second, rule breaks, and resources leaked by the proxies."""
    console = Console(width=None if Console().is_terminal else 120)
    rows, total = [], Counter()
    for plan in player.day.types:
        row = {key: n for (name, key), n in player.count.items() if name == plan.name}
        total.update(row)
        rows.append((plan.name, row))
    rows.append(("all", total))
    if seconds:
        console.print(_table("By second", "second", sorted(player.per_second.items()), COLUMNS))
    console.print(_table("By call type", "call type", rows, COLUMNS))
    setup_times = sorted(player.setup_times_us)
    if setup_times:
        percentiles_ms = [setup_times[min(len(setup_times) - 1, int(len(setup_times) * p))] / 1000 for p in (0.5, 0.99)]
        console.print(f"set-up time: median {percentiles_ms[0]:.1f} ms, 99% {percentiles_ms[1]:.1f} ms")
    offered = total["offered"]
    console.print(
        f"{offered} calls in {player.seconds:.1f} s, {player.auditor.messages} messages observed, "
        f"{player.day.proxies} proxies, {len(player.day.boxes)} central servers"
    )
    answered = sum(1 for t in player.auditor.tries.values() if len(t.finals) == 1)
    console.print(
        f"tries: {len(player.auditor.tries)}, with one final answer {answered}, "
        f"sent to a proxy that was killed {player.auditor.excused}"
    )
    by_rule = Counter(rule for _, rule, _ in breaks)
    for at, rule, text in breaks[:MAX_BREAKS_SHOWN]:
        console.print(f"BROKEN at {(at - player.began) / 1e6:.3f} s: {rule}: {text}", highlight=False, markup=False)
    console.print("rules: " + ", ".join(f"{rule} {by_rule[rule]}" for rule in RULES))
    if player.wrong_type or len(player.editions) > 1:
        editions = ", ".join(f"edition {e} {n}" for e, n in sorted(player.editions.items()))
        console.print(f"set-ups by rules: {editions}; of a wrong call type {player.wrong_type}")
    leaked = leaks(player)
    for name, resources in leaked.items():
        console.print(f"LEFT in {name}: {resources}", highlight=False, markup=False)
    console.print(
        "left in the proxies: "
        + ("see above" if leaked else "0 calls, 0 transactions, 0 dialogs, 0 timers, 0 tasks, 0 descriptors")
    )
    console.print(f"rule breaks: {len(breaks)}")
