"""Prints the page: tables, slopes and formulas."""

from collections.abc import Iterable, Sequence

from bench.slopes import sizes
from bench.slopes.fits import Amount, Slope, format_number
from bench.slopes.roles import ROLES, Found, Load, Role, count_held_pools, count_streams

__all__ = ["make_page", "read_rows"]

TITLE = "# Capacity: what each role costs at the size to come"
HEADER = ("role", "mechanism", "module", "state", "messages/s", "bytes/s", "core")
MEGABYTE = 2**20
HEADER_BYTES = 52
SUMS = {
    "every host, changes of `configuration`": ("control",),
    "and one that watches for its failure domain": ("control", "watcher"),
    "and the busiest owner": ("control", "owner"),
}
SERVER_LIST_ROLES = ("peer: list of servers", "watcher: backend_servers")
NOT_MEASURED = (
    "## Not measured",
    "",
    "- Buffers of the kernel for open connections, and headers of TCP and IP.",
    "- Reads by operators: the time line, the status page, metrics. They cost nothing"
    " while nobody reads.",
    "- The daemon's own handling of a caller's request around the relay: looking up"
    " its class and workspace, counting its end.",
    "- Several regions: all runs are on one machine; the fake network delivers within"
    " 3 ms and loses 5% of messages.",
    "- How the 31,000 changes a day are shared out between the three documents, how"
    " many calls may not be repeated, and how many directory calls there are, is not"
    " known: the rows say what they assume, and the formulas are linear in it.",
    "",
)
SPREAD_ROLES = ("peer: changes spread",)


def _make_line(cells: Iterable[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _make_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    rule = _make_line("---" for _ in header)
    return [_make_line(header), rule, *(_make_line(row) for row in rows), ""]


def _show_state(amount: Amount | None) -> str:
    return f"{amount.value / MEGABYTE:.1f} MB" if amount else ""


def _show_rate(amount: Amount | None) -> str:
    return format_number(amount.value) if amount else ""


def _show_core(amount: Amount | None) -> str:
    return f"{amount.value / 1e4:.2f}%" if amount else ""


def _list_over(load: Load) -> list[str]:
    """Return the names of the budgets that a load is over."""
    limits = {
        "memory": (load.state, sizes.CONTROL_STATE_BYTES),
        "bytes": (load.octets, sizes.CONTROL_BYTES_S),
        "core": (load.core_us, sizes.CONTROL_CORE * 1e6),
    }
    return [name for name, (a, most) in limits.items() if a and a.value > most]


def _judge(role: Role, load: Load) -> str:
    if role.part == "data":
        return "data path"
    if role.part == "value":
        return "OVER: value" if load.octets.value > sizes.VALUE_BYTES else "within"
    over = _list_over(load)
    return f"OVER: {', '.join(over)}" if over else "within"


def _make_row(role: Role, load: Load, verdict: str) -> list[str]:
    return [
        role.role,
        role.mechanism,
        f"`{role.module}`",
        _show_state(load.state),
        _show_rate(load.messages),
        _show_rate(load.octets),
        _show_core(load.core_us),
        verdict,
    ]


def read_rows(page: str) -> list[tuple[str, str, str]]:
    """Return role, mechanism and module of each row of a page's first table."""
    lines = page.split("## At a glance", 1)[1].split("##", 1)[0].splitlines()
    cells = [line.strip("| ").split(" | ") for line in lines if line.startswith("| ")]
    return [(row[0], row[1], row[2].strip("`")) for row in cells[2:]]


def _sum_loads(loads: Iterable[Load]) -> Load:
    sums = []
    for field in zip(*loads, strict=True):
        sums.append(Amount(sum(a.value for a in field if a), ""))
    return Load(*sums)


def _make_sums(loads: dict[str, Load]) -> list[str]:
    rows = []
    for label, parts in SUMS.items():
        chosen = [
            loads[role.role]
            for role in ROLES
            if role.part in parts and role.role not in SERVER_LIST_ROLES
        ]
        rows.append(_make_sum(label, chosen))
    servers = [
        loads[role.role]
        for role in ROLES
        if role.part == "control" and role.role not in SPREAD_ROLES
    ]
    rows.append(_make_sum("every host, changes of `backend_servers`", servers))
    header = ("sum of control", "state", "messages/s", "bytes/s", "core", "verdict")
    messages = _sum_loads(loads[r.role] for r in ROLES if r.part == "control").messages
    added = 2 * messages.value * HEADER_BYTES
    return [
        *_make_table(header, rows),
        "A watcher's bytes are received ones; all others are sent. Headers are not in"
        " these sums: a TCP segment over IPv4 with time stamps has"
        f" {HEADER_BYTES} bytes of them, so that {messages.value:.0f} messages/s, each"
        " in a segment of its own with a sign of life beside it, add up to"
        f" 2 x {messages.value:.0f} x"
        f" {HEADER_BYTES} = {added:,.0f} bytes/s (arithmetic, not measured). Writing"
        " messages to one host together, and fewer signs of life, bring this down.",
        "",
    ]


def _make_sum(label: str, chosen: list[Load]) -> list[str]:
    total = _sum_loads(chosen)
    over = _list_over(total)
    return [
        label,
        _show_state(total.state),
        _show_rate(total.messages),
        _show_rate(total.octets),
        _show_core(total.core_us),
        f"OVER: {', '.join(over)}" if over else "within",
    ]


def _describe_slope(slope: Slope) -> list[str]:
    points = ", ".join(_describe_point(point) for point in slope.points)
    line = (
        f"{format_number(slope.slope)} x {slope.per}"
        f" {'-' if slope.intercept < 0 else '+'}"
        f" {format_number(abs(slope.intercept))}"
    )
    return [slope.what, points, line, format_number(slope.residual)]


def _describe_point(point: tuple[float, float, float]) -> str:
    size, least, most = (format_number(value) for value in point)
    return f"{size}: {least}" + (f" to {most}" if most != least else "")


def _make_slopes(slopes: Iterable[Slope]) -> list[str]:
    header = ("measured", "size: least to most of the repeats", "line", "residual")
    return _make_table(header, [_describe_slope(slope) for slope in slopes])


def _make_section(role: Role, load: Load, verdict: str, found: Found) -> list[str]:
    lines = [f"### {role.role}", "", f"{role.note}", ""]
    lines += _make_slopes(found.slopes[name] for name in role.slopes)
    shown = {
        "State": (load.state, "bytes"),
        "Messages": (load.messages, "/s"),
        "Bytes": (load.octets, "" if role.part == "value" else "/s"),
        "Processor": (load.core_us, "µs/s"),
    }
    for name, (amount, unit) in shown.items():
        if amount:
            value = format_number(amount.value)
            lines.append(f"- {name}: {amount.text} = **{value}** {unit}")
    if role.mend:
        state = f"{verdict}." if verdict.startswith("OVER") else "To make it cheaper:"
        lines += ["", f"{state} {role.mend}"]
    return [*lines, ""]


def _make_calls(found: Found) -> list[str]:
    largest, slopes = found.largest, found.slopes
    rows = [
        (format_number(hosts), f"{rate:.1f}") for hosts, rate in largest.calls.items()
    ]
    changes = 2 * sizes.FAILURE_DOMAINS * sizes.CHANGES_S
    return [
        "## What grows more slowly than the fleet",
        "",
        "Calls to the platform a second over all readers, a waiting watch counted as"
        " one; idle fleets of 20 s, with 3, 3, 10 and 22 failure domains:",
        "",
        *_make_table(("hosts", "platform calls/s"), rows),
        *_make_slopes([slopes["platform calls"]]),
        "Two watchers a failure domain watch three documents each, whatever the number"
        f" of hosts. Each change adds a call a watcher: 2 x {sizes.FAILURE_DOMAINS}"
        f" x {sizes.CHANGES_S:.2f} changes/s = {changes:.0f} calls/s, against"
        f" {sizes.PLATFORM_CALLS_S:,.0f}.",
        "",
    ]


def _make_failures(found: Found) -> list[str]:
    slopes = found.slopes
    names = (
        "loss bytes",
        "loss messages",
        "loss core",
        "cut bytes",
        "cut core",
        "heal bytes",
    )
    lines = [
        "## When things fail",
        "",
        f"A failure domain of {sizes.DOMAIN_HOSTS} hosts that stops at once, watched"
        " for 25 s; two failure domains (about one region) cut off from all others for"
        " 60 s, and then back. 22 failure domains at each size, so that the lost part"
        " is the same; figures are means over all hosts.",
        "",
        *_make_slopes(slopes[name] for name in names),
    ]
    for name in names:
        amount = slopes[name].at(sizes.HOSTS)
        value = format_number(amount.value)
        lines.append(f"- {slopes[name].what}: {amount.text} = **{value}**")
    one = slopes["owners"].at(sizes.HOSTS)
    lines += [
        "",
        f"- One host: each other host works out owners anew, {one.text} ="
        f" **{format_number(one.value)}** µs, once when it is lost and once when it is"
        " back.",
        f"- A failure domain: {sizes.DOMAIN_HOSTS} times that on each host, spread over"
        " the seconds in which the losses become known:"
        f" **{format_number(one.scale(sizes.DOMAIN_HOSTS).value / 1e3)}** ms in all.",
        "- A rack lies between the two: the same in proportion to its hosts.",
        "",
    ]
    return lines


def make_page(found: Found) -> str:
    """Return the page for what was measured.

    Args:
        found: What was measured.
    """
    loads = {role.role: role.work_out(found) for role in ROLES}
    verdicts = {role.role: _judge(role, loads[role.role]) for role in ROLES}
    rows = [_make_row(r, loads[r.role], verdicts[r.role]) for r in ROLES]
    lines = [TITLE, "", *_make_introduction(found), "## At a glance", ""]
    lines += _make_table((*HEADER, "verdict"), rows)
    lines += ["## Sums against the budget", "", *_make_sums(loads)]
    lines += _make_remedies(loads, verdicts)
    lines += _make_calls(found)
    lines += _make_failures(found)
    lines += _make_check(found)
    lines += [*NOT_MEASURED, "## Role by role", ""]
    for role in ROLES:
        lines += _make_section(role, loads[role.role], verdicts[role.role], found)
    return "\n".join(lines).rstrip() + "\n"


def _make_introduction(found: Found) -> list[str]:
    streams = count_streams(found.pools)
    pools = found.pools
    return [
        "`make slopes` measures all of this anew, in less than three minutes, and"
        " prints this page; `python -m bench.slopes --write docs/CAPACITY.md` puts it"
        " here. A figure for the size to come is `slope x size ± intercept` of a line"
        " through three or more smaller measured sizes, by least squares. The residual"
        " is the greatest distance of a point from its line. Processor times are of a"
        " shared and noisy machine: the line goes through the least of several repeats,"
        " and the most is shown beside it. From run to run they still differ: four runs"
        " gave 3.4% to 9.3% of a core for the directory calls. Bytes are those of the"
        " messages, without TCP"
        " and IP. Bytes are sent ones unless a row says otherwise; on average a host"
        " receives as much.",
        "",
        f"The size: {sizes.HOSTS:,} hosts in {sizes.FAILURE_DOMAINS} failure domains,"
        f" {sizes.SERVERS:,} servers, {sizes.REQUESTS_S:.1f} requests and"
        f" {sizes.TOKENS_S:,.0f} tokens/s a host,"
        f" {sizes.CHATS / 1e6:.0f} million chats, {sizes.WORKSPACES} workspaces,"
        f" {sizes.CHANGES_S:.2f} changes of configuration/s. From these: an answer"
        f" has {sizes.ANSWER_TOKENS:.0f} tokens and, at 49 ms a token, lasts"
        f" {sizes.ANSWER_S:.1f} s, so that a host has"
        f" {sizes.HELD:.0f} requests in flight, in {count_held_pools(pools):.0f} of"
        f" {pools['pools']:.0f} pools. These have {pools['owners']:.0f} owners;"
        f" one host owns {pools['most owned']:.0f}. Ends of open streams:"
        f" {streams.mean:.0f} on average, {streams.busiest:.0f} at the busiest owner.",
        "",
        f"The budget of a node for control: {100 * sizes.CONTROL_CORE:.1f}% of a core,"
        " 128 MB, 10 KB/s. A change is to be in force everywhere in 13 s. The platform"
        " answers 2,000 reads/s and holds values up to a megabyte.",
        "",
    ]


def _make_remedies(loads: dict[str, Load], verdicts: dict[str, str]) -> list[str]:
    lines = ["## What is over, and what would mend it", ""]
    for role in ROLES:
        if verdicts[role.role].startswith("OVER"):
            lines.append(f"- **{role.role}** ({verdicts[role.role]}). {role.mend}")
    return [*lines, ""]


def _make_check(found: Found) -> list[str]:
    largest = found.largest
    octets = found.slopes["idle bytes"].at(sizes.HOSTS)
    core = found.slopes["idle core"].at(sizes.HOSTS)
    change = found.slopes["change time"].at(sizes.HOSTS)
    return [
        "## The lines against a whole fleet",
        "",
        f"A fleet of {sizes.HOSTS:,} hosts, idle, was run once as a check:",
        "",
        *_make_table(
            ("of a host", "by the line", "measured"),
            [
                (
                    "sent, bytes/s",
                    format_number(octets.value),
                    format_number(largest.octets),
                ),
                (
                    "processor time, µs/s",
                    format_number(core.value),
                    format_number(largest.core_us),
                ),
            ],
        ),
        "Where the two differ, the measured one counts and is in the tables: at this"
        " size news of which host has which hosts list, a bit a host, hardly ever"
        " ends, and pings carry it.",
        "",
        f"A change in force everywhere: {change.text} = **{change.value:.1f}** s,"
        " against 13 s.",
        "",
        *_make_slopes([found.slopes["change time"]]),
    ]
