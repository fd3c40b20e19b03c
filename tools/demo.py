"""Starts an example fleet, sends requests and prints the results.

Usage:
    demo FOLDER [--check]

Options:
    --check  Exit after the requests, with status 0 if all checks passed.
"""

import pathlib
import signal
import sys
import time

import docopt

from camphorhook import main as client_main
from camphorhook_common import timeline
from tests.harness import callers
from tests.harness import fleet as fleets
from tests.harness import plans
from tests.standins import engine

RETURN_PAUSE_SECONDS = 1.0
MAX_SHOWN_EVENTS = 40


class Demonstration:
    """Runs the steps and collects failed checks.

    Attributes:
        failures: texts of the checks that failed.
    """

    def __init__(self, fleet, folder):
        self._fleet = fleet
        self._folder = folder
        self._plan = fleet.plan
        self.failures = []

    def _print(self, text):
        print(text, flush=True)

    def _check(self, condition, text):
        self._print(f"  {'ok ' if condition else 'BAD'} {text}")
        if not condition:
            self.failures.append(text)

    def start(self):
        """Start all processes, load the tables and print the addresses."""
        self._print(f"starting {self._plan.name}: instances")
        self._fleet.start_instances()
        self._fleet.wait_ready()
        self._fleet.load_tables(self._folder)
        self._print("starting stand-in upstreams")
        self._fleet.start_upstreams()
        self._fleet.wait_upstreams()
        self._print("callers' ports:")
        for instance in self._plan.instances:
            self._print(f"  {instance.name} http://{instance.callers}/v1")
        self._print(f"account key:  {self._plan.account_key}")
        self._print(f"operator key: {self._plan.operator_key}")

    def _stream(self, instance, body):
        reply = callers.stream_chat(
            instance.callers, self._plan.account_key, body
        )
        last = reply.ids[-1].split("~")[1] if reply.ids else "none"
        self._print(f"  served by {instance.name} on {last}: {reply.text}")
        return reply, last

    def show_chat(self):
        """Stream a chat, and continue it through another instance."""
        model = next(one.models for one in self._plan.upstreams if one.models)
        body = callers.make_chat("My strings: 24/23 kg.", model=model)
        first, *_, other = self._plan.instances
        self._print("a streamed chat:")
        reply, warm = self._stream(first, body)
        wanted = engine.make_answer(body["messages"])
        self._check(reply.is_whole and reply.text == wanted, "whole answer")
        time.sleep(RETURN_PAUSE_SECONDS)
        body["messages"] += [
            {"role": "assistant", "content": reply.text},
            {"role": "user", "content": "And for clay?"},
        ]
        self._print("its return after a pause, to another instance:")
        reply, again = self._stream(other, body)
        wanted = engine.make_answer(body["messages"])
        self._check(reply.is_whole and reply.text == wanted, "whole answer")
        self._check(again == warm, "the same engine, still warm")

    def show_booking(self):
        """Send a booking, and send it again to another instance."""
        service = next(
            one.service for one in self._plan.upstreams if not one.models
        )
        path = f"/services/{service}/bookings"
        key = f"demo-{time.time_ns()}"
        answers = []
        for instance in self._plan.instances[:2]:
            reply = callers.send(
                "POST",
                instance.callers,
                path,
                key=self._plan.account_key,
                body={"what": "restring, Thursday"},
                headers={"idempotency-key": key},
            )
            replayed = reply.headers.get("idempotent-replayed", "no")
            server = reply.headers.get("camphorhook-upstream", "the record")
            self._print(
                f"a booking by {instance.name}: {reply.status} from "
                f"{server}, replayed: {replayed}: {reply.body.decode()}"
            )
            answers.append(reply)
        effects = [one for one in self._fleet.read_effects()]
        count = sum(one["key"] == key for one in effects)
        self._check(count == 1, f"booked once (effects: {count})")
        same = answers[0].body == answers[1].body
        self._check(same and answers[0].status == 201, "same answer twice")

    def show_table(self):
        """Set a cell and check that it takes effect on every instance."""
        self._print("an operator sets a cell:")
        answer = self._fleet.client.change_row(
            "client_accounts", "account-2", {"weight": 8}
        )
        self._check(answer["outcome"] == "done", "accepted")
        index = answer["index"]
        end = time.monotonic() + 5.0
        while time.monotonic() < end:
            rows = self._fleet.read_status().values()
            if all(row.get("index", -1) >= index for row in rows):
                break
        rows = self._fleet.read_status().values()
        in_force = all(row.get("index", -1) >= index for row in rows)
        self._check(in_force, "in force on every instance within 5 s")
        self._run_client("table", "client_accounts")
        self._run_client("status")

    def _run_client(self, *words):
        servers = ",".join(one.operators for one in self._plan.instances)
        key = self._plan.operator_key
        client_main.main(["--server", servers, "--key", key, *words])

    def show_timeline(self):
        """Print the newest events of the merged time line of all processes."""
        self._print("the time line's newest events:")
        lists = [
            timeline.load(path)
            for path in sorted(self._fleet.folder.glob("*.timeline.jsonl"))
        ]
        for event in timeline.merge(lists)[-MAX_SHOWN_EVENTS:]:
            self._print("  " + timeline.format_event(event))

    def run(self):
        """Run every step."""
        self.start()
        self.show_chat()
        self.show_booking()
        self.show_table()
        self.show_timeline()


def main():
    """Run the demonstration."""
    arguments = docopt.docopt(__doc__)
    folder = pathlib.Path(arguments["FOLDER"])
    plan = plans.load_plan(folder / "fleet.ini")
    fleet = fleets.Fleet(
        plan, pathlib.Path("run", plan.name), settings_folder=folder
    )
    demonstration = Demonstration(fleet, folder)
    try:
        demonstration.run()
        if arguments["--check"]:
            failures = demonstration.failures
            print(f"{len(failures)} faults: {failures}")
            sys.exit(1 if failures else 0)
        print("running until interrupted (Ctrl-C)", flush=True)
        signal.sigwait((signal.SIGINT, signal.SIGTERM))
    except KeyboardInterrupt:
        print("interrupted")
    finally:
        fleet.close()


if __name__ == "__main__":
    main()
