"""Generates docs/CAPACITY.md: estimates for the target size.

Usage:
    capacity [--slopes=FILE]

Options:
    --slopes=FILE  Results of `tools.slopes` [default: docs/slopes.json].

Every figure on the page is a measured slope, a figure of the target, an
assumption, or the result of arithmetic that the page shows.
"""

import json
import pathlib
import typing

import docopt

from camphorhook_daemon.domain.routing import dissemination
from camphorhook_daemon.domain.routing import relays
from camphorhook_daemon.domain.routing import summaries

OUTPUT = pathlib.Path("docs/CAPACITY.md")
BYTES_PER_MB = 1e6


class Target(typing.NamedTuple):
    """The target size and the bounds, as the users specify them."""

    nodes: int = 390
    upstreams: int = 1700
    requests_per_second: float = 610
    tokens_per_second: float = 300000
    seconds_between_tokens: float = 0.056
    chats: int = 4900000
    accounts: int = 13000
    regions: int = 7
    failure_domains: int = 18
    changes_per_day: int = 2200
    in_force_seconds: float = 17
    cpu_percent: float = 1.3
    memory_bytes: float = 256e6
    bytes_per_second: float = 2000
    max_dedicated_instances: int = 9
    restarts_per_day: int = 370


class Assumptions(typing.NamedTuple):
    """Figures that the target does not specify and the page assumes."""

    booking_share: float = 0.01
    retention_hours: float = 72
    replicas: int = 5
    announce_seconds: float = 3
    announce_bytes: float = 540
    record_bytes: float = 150
    row_bytes: float = 250
    watch_seconds: float = 2
    exchange_bytes_per_second: float = 700
    neighbours: int = 8
    day_seconds: float = 86400


class Page:
    """The page.

    Attributes:
        lines: of the page so far.
    """

    def __init__(self):
        self.lines = []

    def add_lines(self, *lines):
        """Add lines to the page."""
        self.lines += lines

    def add_row(self, what, arithmetic, value, bound, mechanism):
        """Add a row with a verdict to the current table.

        Args:
            what: name of the result.
            arithmetic: the calculation as text.
            value: the result, in the unit of the bound.
            bound: the highest value allowed, or None.
            mechanism: what provides the value, or what is missing for it.
        """
        verdict = format_verdict(value, bound)
        shown = f"{value:,.3g}"
        limit = "-" if bound is None else f"{bound:,.3g}"
        row = (what, arithmetic, shown, limit, verdict, mechanism)
        self.lines.append("| " + " | ".join(row) + " |")

    def start_table(self, title):
        """Add a heading and the head of a table."""
        self.add_lines("", f"## {title}", "")
        self.add_lines(
            "| what | arithmetic | value | bound | verdict | mechanism |",
            "| --- | --- | --- | --- | --- | --- |",
        )


def format_verdict(value, bound):
    """Return the text of the verdict on a value and its bound."""
    if bound is None:
        return "-"
    if value <= bound / 2:
        return "carried with margin"
    return "carried" if value <= bound else "**MISS**"


def write_entry(page, target, assumed, slopes, idle):
    """Add the tables of an entry instance."""
    base = idle["m2"]["memory_bytes"] / BYTES_PER_MB
    row = slopes["entry memory per row"]
    upstream = slopes["entry memory per upstream"]
    account = slopes["entry memory per account in use"]
    chat = slopes["entry memory per chat in flight"]
    streams = (
        target.tokens_per_second * target.seconds_between_tokens / target.nodes
    )
    rows = target.accounts * row / BYTES_PER_MB
    upstreams_mb = target.upstreams * upstream / BYTES_PER_MB
    used = target.accounts * account / BYTES_PER_MB
    streams_mb = streams * chat / BYTES_PER_MB
    page.start_table("Entry instance: memory, MB")
    page.add_row("process without load", "measured", base, None, "one process")
    page.add_row(
        "tables in force",
        f"{target.accounts:,} rows x {row:.0f} B",
        rows,
        None,
        "every instance holds all rows; deltas by index",
    )
    page.add_row(
        "upstreams",
        f"{target.upstreams:,} x {upstream:.0f} B",
        upstreams_mb,
        None,
        "directory",
    )
    page.add_row(
        "accounts in use, all of them here",
        f"{target.accounts:,} x {account:.0f} B",
        used,
        None,
        "shares of limits; forgotten when quiet",
    )
    page.add_row(
        "returning chats",
        f"{target.chats:,} x 0 B",
        0.0,
        None,
        "rendezvous hashing: no state for a chat on any instance",
    )
    page.add_row(
        "chats in flight",
        f"{target.tokens_per_second:,.0f} x "
        f"{target.seconds_between_tokens} s / {target.nodes} = "
        f"{streams:.0f} x {chat / 1000:.0f} kB",
        streams_mb,
        None,
        "buffers of streams; data, not control",
    )
    page.add_row(
        "all together",
        "sum",
        base + rows + upstreams_mb + used + streams_mb,
        target.memory_bytes / BYTES_PER_MB,
        "as above",
    )
    write_entry_time(page, target, assumed, slopes, idle)
    write_entry_bytes(page, target, assumed, slopes, idle)


def write_entry_time(page, target, assumed, slopes, idle):
    """Add the table of an entry instance's processor time."""
    request = slopes["entry time per short request"]
    token = slopes["entry time per token streamed"]
    announcement = slopes["time per announcement"]
    domains = target.failure_domains
    heard = target.upstreams / domains / assumed.announce_seconds
    homes = 2 * heard / (target.nodes / domains)
    page.start_table("Entry instance: per cent of a core")
    page.add_row(
        "requests (data)",
        f"{target.requests_per_second:.0f} / {target.nodes} x "
        f"{request * 1000:.1f} ms",
        100 * target.requests_per_second / target.nodes * request,
        None,
        "data, not control",
    )
    page.add_row(
        "tokens (data)",
        f"{target.tokens_per_second:,.0f} / {target.nodes} x "
        f"{token * 1000:.3f} ms",
        100 * target.tokens_per_second / target.nodes * token,
        None,
        "data, not control; one event at a time",
    )
    page.add_row(
        "control when idle at today's size",
        "measured on 2 instances",
        idle["m2"]["cpu_percent"],
        target.cpu_percent,
        "exchange, watch, announcements of 2 upstreams",
    )
    page.add_row(
        "announcements as today, to all of a domain",
        f"{target.upstreams} / {domains} / "
        f"{assumed.announce_seconds:.0f} s = {heard:.0f}/s x "
        f"{announcement * 1000:.1f} ms",
        100 * heard * announcement,
        target.cpu_percent,
        "not yet: must go to 2 home instances of the domain only",
    )
    page.add_row(
        "announcements to 2 home instances",
        f"2 x {heard:.0f} / {target.nodes / domains:.0f} = {homes:.1f}/s x "
        f"{announcement * 1000:.1f} ms",
        100 * homes * announcement,
        target.cpu_percent,
        "planned: the answer names the homes, by hash; the slope is of a "
        "new connection each time, kept ones cost less",
    )


def write_entry_bytes(page, target, assumed, slopes, idle):
    """Add the table of an entry instance's control traffic."""
    load = slopes["exchange bytes per load"]
    domains = target.failure_domains
    heard = target.upstreams / domains / assumed.announce_seconds
    homes = 2 * heard / (target.nodes / domains)
    whole = target.upstreams * load
    regional = whole / target.regions
    pause = whole / assumed.exchange_bytes_per_second
    near = regional / assumed.exchange_bytes_per_second
    exchanged = 2 * assumed.exchange_bytes_per_second
    watch = sum(
        rate
        for kind, rate in idle["m2"]["bytes_per_second"].items()
        if kind.startswith("w")
    )
    page.start_table("Entry instance: control, B/s")
    page.add_row(
        "watch of the tables",
        "measured, sent and received",
        watch,
        target.bytes_per_second,
        "long poll; a delta only when something changed",
    )
    page.add_row(
        "exchange, sent and received",
        f"2 x {assumed.exchange_bytes_per_second:.0f} (governed)",
        exchanged,
        target.bytes_per_second,
        "turns slow down as messages grow",
    )
    page.add_row(
        "announcements as today, to all of a domain",
        f"{heard:.0f}/s x {assumed.announce_bytes:.0f} B",
        heard * assumed.announce_bytes,
        target.bytes_per_second,
        "not yet",
    )
    page.add_row(
        "announcements to 2 home instances",
        f"{homes:.1f}/s x {assumed.announce_bytes:.0f} B",
        homes * assumed.announce_bytes,
        target.bytes_per_second,
        "planned",
    )
    page.add_row(
        "all, with home instances",
        "sum",
        watch + exchanged + homes * assumed.announce_bytes,
        target.bytes_per_second,
        "planned: lower the exchange's rate, longer TTL",
    )
    page.add_lines(
        "",
        "The price of a governed exchange is the age of loads. A message with "
        f"all loads is {target.upstreams} x {load:.1f} B = {whole:,.0f} B, "
        f"one turn each {pause:.0f} s; with the loads of the own region only, "
        f"{regional:,.0f} B, one turn each {near:.1f} s, some "
        f"{near * 6:.0f} s until all of a region's "
        f"{target.nodes / target.regions:.0f} instances have it (6 hops). "
        "Neither is built: today every instance tells all loads. At the "
        "target the bound then rests on what an instance sends itself. "
        "**Not yet.**",
    )


def write_replica(page, target, assumed, slopes, results):
    """Add the tables of a replica."""
    claim = slopes["replica memory per claim"]
    row = slopes["replica memory per row"]
    base = results["idle"]["m1"]["memory_bytes"] / BYTES_PER_MB
    rate = target.requests_per_second * assumed.booking_share
    kept = rate * assumed.retention_hours * 3600
    rows = target.accounts * row / BYTES_PER_MB
    room = target.memory_bytes / BYTES_PER_MB - base - rows
    hours = room * BYTES_PER_MB / claim / rate / 3600
    page.start_table(
        f"Replica ({assumed.replicas} of them, set aside): memory, MB"
    )
    page.add_row("process without load", "measured", base, None, "one process")
    page.add_row(
        "rows and remembered operations",
        f"{target.accounts:,} x {row:.0f} B",
        rows,
        None,
        "state machine in memory",
    )
    page.add_row(
        "claims",
        f"{target.requests_per_second:.0f}/s x {assumed.booking_share:.0%} "
        f"(assumed) x {assumed.retention_hours:.0f} h = {kept:,.0f} x "
        f"{claim:.0f} B",
        kept * claim / BYTES_PER_MB,
        target.memory_bytes / BYTES_PER_MB,
        "not yet: settled claims must go to disk behind an index, or "
        "the log must be split by key",
    )
    page.add_lines(
        "",
        f"In memory as today, 256 MB hold {hours:.1f} h of such claims; the "
        "cell `retention_hours` sets it.",
    )
    write_replica_time(page, target, assumed, slopes, results, rate)


def write_replica_time(page, target, assumed, slopes, results, rate):
    """Add the table of a replica's processor time, traffic and disk."""
    change = slopes["replica time per change"]
    booking = slopes["entry and replica time per claim"]
    watchers = target.nodes / assumed.replicas
    idle = results["idle"]["m2"]["bytes_per_second"]
    watch = sum(one for kind, one in idle.items() if kind.startswith("w"))
    page.start_table("Replica: time, bytes, disk")
    page.add_row(
        "changes, per cent of a core",
        f"{target.changes_per_day:,} / day x {change * 1000:.2f} ms",
        100 * target.changes_per_day / assumed.day_seconds * change,
        target.cpu_percent,
        "group commit",
    )
    page.add_row(
        "bookings, per cent of a core",
        f"{rate:.1f}/s x {booking * 1000:.2f} ms (entry part included)",
        100 * rate * booking,
        100,
        "leader; set aside, so a core is its own",
    )
    page.add_row(
        "watchers, B/s of a replica",
        f"{target.nodes} / {assumed.replicas} x {watch:.0f}",
        watchers * watch,
        None,
        "set aside; else neighbours must pass the tables on",
    )
    page.add_row(
        "log on disk, MB a day",
        f"{target.changes_per_day:,} x "
        f"{slopes['log bytes per change']:.0f} B + {rate:.1f}/s x "
        f"{slopes['log bytes per claim']:.0f} B x 86,400",
        (
            target.changes_per_day * slopes["log bytes per change"]
            + rate * slopes["log bytes per claim"] * assumed.day_seconds
        )
        / BYTES_PER_MB,
        None,
        "snapshots drop what they cover",
    )
    page.add_row(
        "instances set aside",
        f"{assumed.replicas} replicas",
        assumed.replicas,
        target.max_dedicated_instances,
        "3 or 5 replicas in different failure domains",
    )
    restart = results["restart"]
    page.add_lines(
        "",
        f"Restart of the only replica with {restart['entries']:,} entries: "
        f"{restart['seconds']:.1f} s until ready, "
        f"{restart['memory_bytes'] / BYTES_PER_MB:.0f} MB. The log is cut at "
        "4,000 to 8,000 entries by snapshots, which bounds it; the wait for "
        "an election (2.5 to 5 s) is the larger part.",
    )


def write_notices(page, target):
    """Add the table of notices between entry instances on the platform."""
    instances = {
        f"10.{number % target.failure_domains}.0.{number}": (
            f"zone-{number % target.failure_domains}"
        )
        for number in range(target.nodes)
    }
    plans = [relays.plan(name, instances) for name in instances]
    readers = max(
        len(plan.members) + len(plan.list_peer_relays(name))
        for name, plan in zip(instances, plans, strict=True)
    )
    groups = len(plans[0].relays)
    wait = dissemination.MIN_INTERVAL_SECONDS
    wait += dissemination.SUMMARY_STEP_SECONDS * readers
    full = summaries.UpstreamTotals(1, summaries.PREFILL_UNIT_TOKENS, 1, 0)
    sums = {f"server-{number}": full for number in range(target.upstreams)}
    size = len(summaries.pack(sums))
    page.start_table("Entry instance on the platform: notices, B/s")
    page.add_row(
        "summaries read by a member",
        f"{target.upstreams} x {size // target.upstreams} B / {wait:.2f} s",
        size / wait,
        target.bytes_per_second,
        "not yet: tell upstreams whose load changed, and those of the own "
        "region's services",
    )
    page.add_row(
        "summaries sent by a relay",
        f"{readers} readers x {size:,} B / {wait:.2f} s",
        readers * size / wait,
        None,
        f"the first of two in each of {groups} groups; the same",
    )


def write_failure_cases(page, target, assumed):
    """Add the effects of restarts, failures and partitions."""
    snapshot = target.accounts * assumed.row_bytes / BYTES_PER_MB
    daily = target.restarts_per_day * snapshot
    state_bytes = target.upstreams * assumed.record_bytes * assumed.neighbours
    lost = target.nodes / target.failure_domains
    page.add_lines(
        "",
        "## The bad day",
        "",
        f"* **{target.restarts_per_day} restarts.** Each fetches the tables: "
        f"{target.accounts:,} rows x {assumed.row_bytes:.0f} B (assumed) = "
        f"{snapshot:.1f} MB, {daily:,.0f} MB a day, "
        f"{daily * BYTES_PER_MB / assumed.replicas / assumed.day_seconds:,.0f}"
        " B/s of each replica on average. And its neighbours tell it all "
        f"upstreams: {target.upstreams} x {assumed.record_bytes:.0f} B x "
        f"{assumed.neighbours} = {state_bytes / BYTES_PER_MB:.1f} MB, "
        f"{target.restarts_per_day * state_bytes / target.nodes / 86400:.0f}"
        " B/s a node on average, but in one burst. Not yet: one neighbour is "
        "enough.",
        f"* **A failure domain is lost.** {lost:.0f} instances and "
        f"{target.upstreams / target.failure_domains:.0f} upstreams go; the "
        f"others take {100 * lost / (target.nodes - lost):.0f} % more. Only "
        "chats placed there move (rendezvous hashing); they come cold.",
        "* **Regions are apart for an hour.** The side with the quorum goes "
        "on. On the other side every failure domain serves chats with its own "
        "engines, refuses bookings and changes as `not-run`, and keeps its "
        "tables. Carried in kind; an hour without bookings there is the price "
        "of one quorum. Its failure domains don't help each other: not yet.",
        "* **A hot account.** Usages go to neighbours only; with "
        f"{target.nodes} nodes the shares of most are unknown to each other, "
        "and the floor of a quarter of an equal share bounds the excess to "
        "25 %. Passing sums on is not yet built.",
        f"* **In force within {target.in_force_seconds:.0f} s.** A change "
        "reaches watchers with the next heartbeat of the leader (0.75 s) and "
        "their open poll; a watcher that has to change replicas needs 3.5 s "
        "for the poll and 0.3 s for each further one. Carried with margin.",
    )


def main():
    """Generate the page and write it to OUTPUT."""
    arguments = docopt.docopt(__doc__)
    results = json.loads(pathlib.Path(arguments["--slopes"]).read_text())
    slopes = {one["name"]: one["slope"] for one in results["slopes"]}
    target, assumed = Target(), Assumptions()
    page = Page()
    page.add_lines(
        "# Capacity",
        "",
        "Written by `python -m tools.capacity` from docs/slopes.json, which "
        "`make slopes` measures on one machine with small stand-ins. A figure "
        "that misses its bound says MISS. Nothing here was run at the "
        "target's size.",
        "",
        "Our users' target, in about two years: 390 nodes before 1,700 "
        "servers; 610 requests and 300,000 tokens a second; 56 ms between "
        "tokens; 4.9 million returning chats; 13,000 accounts; 12 models; 7 "
        "regions, 18 failure domains; 2,200 changes a day in force within "
        "17 s; for control 1.3 % of a core, 256 MB and 2 KB/s a node, at most "
        "9 instances set aside; 37 failures and 370 restarts a day; regions "
        "apart for an hour now and then.",
        "",
        "## Slopes",
        "",
        "| what | one more costs | residual | sizes |",
        "| --- | --- | --- | --- |",
    )
    for one in results["slopes"]:
        sizes = ", ".join(str(size) for size in one["sizes"])
        page.add_lines(
            f"| {one['name']} | {one['slope']:.4g} {one['unit']} | "
            f"{one['residual_percent']:.1f} % | {sizes} |"
        )
    write_entry(page, target, assumed, slopes, results["idle"])
    write_replica(page, target, assumed, slopes, results)
    write_notices(page, target)
    write_failure_cases(page, target, assumed)
    page.add_lines(
        "",
        "## Other roles",
        "",
        "* **Lease holder**: the log's leader; as the replica above.",
        "* **Operators' client**: one process for a call; `status` asks "
        f"every instance once ({target.nodes} messages a call).",
        "",
        "## What is not yet carried",
        "",
        "Announcements to home instances; loads by region; claims beyond "
        "memory; usages of accounts beyond neighbours; whole state from one "
        "neighbour; instances learned instead of listed in each settings "
        "file. Each is a change to a part that runs today, none a second "
        "design.",
    )
    OUTPUT.write_text("\n".join(page.lines) + "\n")


if __name__ == "__main__":
    main()
