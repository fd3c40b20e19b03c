"""Simulates the router fleet under plans of load and faults.

Usage:
    emulator run PLAN [options]
    emulator compare PLAN [options]
    emulator sweep PLAN CONSTANT VALUE... [options]
    emulator grow PLAN COUNT... [options]

`run` simulates a plan. `compare` simulates it under each policy of
policies.py, `sweep` with each value of a routing constant such as
`choice.LOAD_BOUND`, and `grow` with several numbers of instances under the
same load. All of them use the same seeds.

Options:
    --seeds=N      Trials of each variant, with seeds 1 to N [default: 3].
    --jobs=N       Trials to run in parallel [default: 3].
    --set=LIST     Comma-separated CONSTANT=VALUE pairs for all variants.
    --json=FILE    Write all results to this file as JSON.
    --plot=FILE    Write a plot of the worth to this file.
"""

import concurrent.futures
import json
import typing

import docopt
import msgspec
import numpy

from tools.emulator import plans
from tools.emulator import plots
from tools.emulator import policies
from tools.emulator import trials


class Variant(typing.NamedTuple):
    """A named combination of a plan, a policy and overridden constants."""

    name: str
    plan: plans.Plan
    policy: str
    settings: dict


def list_variants(arguments, plan):
    """Return the Variants that the command line selects."""
    settings = _read_settings(arguments["--set"])
    if arguments["compare"]:
        return [
            Variant(name, plan, name, settings) for name in policies.POLICIES
        ]
    if arguments["sweep"]:
        constant = arguments["CONSTANT"]
        return [
            Variant(
                f"{constant}={value}",
                plan,
                "product",
                {**settings, constant: json.loads(value)},
            )
            for value in arguments["VALUE"]
        ]
    if arguments["grow"]:
        return [
            Variant(
                f"{count} instances",
                msgspec.structs.replace(plan, instances=int(count)),
                "product",
                settings,
            )
            for count in arguments["COUNT"]
        ]
    return [Variant("product", plan, "product", settings)]


def _read_settings(text):
    pairs = [pair.partition("=") for pair in (text or "").split(",") if pair]
    return {name: json.loads(value) for name, _, value in pairs}


def run_variants(variants, seeds, jobs):
    """Run all trials; return lists of trials.Result by name of the Variant."""
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        futures = {
            one.name: [
                pool.submit(
                    trials.run, one.plan, seed, one.policy, one.settings
                )
                for seed in range(1, seeds + 1)
            ]
            for one in variants
        }
        return {
            name: [future.result() for future in found]
            for name, found in futures.items()
        }


def _print_tables(results):
    print(
        "| | worth | spread | reuse | sends | crashes | by requests | "
        "notices/s |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for name, found in results.items():
        worths = [one.worth for one in found]
        cells = [
            f"{numpy.mean(worths):.3f}",
            f"{max(worths) - min(worths):.3f}",
            *(
                f"{numpy.mean([getattr(one, field) for one in found]):.3f}"
                for field in (
                    "reuse",
                    "sends",
                    "crashes",
                    "request_crashes",
                    "limit_excess",
                    "mixed_streams",
                    "notices",
                )
            ),
        ]
        print(f"| {name} | {' | '.join(cells)} |")
    for name, found in results.items():
        print(f"\n{name}, seed 1:\n")
        print(
            "| kind | asked | in aim | late | refused | failed | p50 | p99 |"
        )
        print("| --- | --- | --- | --- | --- | --- | --- | --- |")
        for kind, one in found[0].kinds.items():
            shares = [f"{share:.3f}" for share in one[1:7]]
            print(f"| {kind} | {one.asked} | {' | '.join(shares)} |")


def main():
    """Run the trials, and print and write their results."""
    arguments = docopt.docopt(__doc__)
    plan = plans.read(arguments["PLAN"])
    results = run_variants(
        list_variants(arguments, plan),
        int(arguments["--seeds"]),
        int(arguments["--jobs"]),
    )
    _print_tables(results)
    if arguments["--json"]:
        with open(arguments["--json"], "wb") as file:
            file.write(msgspec.json.encode(results))
    if arguments["--plot"]:
        plots.plot_trials(results, arguments["--plot"])


if __name__ == "__main__":
    main()
