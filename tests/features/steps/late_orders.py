"""Step definitions for operators' orders that come late."""

import behave

from tests.harness import late_orders
from tests.harness import processes

ENTRIES = ("entry-1", "entry-2")
REPLICAS = ("replica-1", "replica-2", "replica-3")


@behave.when("{domain} is taken out by way of {replica}")
def take_out(context, domain, replica):
    late_orders.insist(context.platform, [replica], "evacuate", domain)


@behave.then("every replica logs who asked, and the version before")
def check_replica_logs(context):
    for name in REPLICAS:
        (line,) = processes.wait_until(
            lambda one=name: late_orders.list_lines(
                context.platform, one, "apply change"
            )
        )
        assert line["message"] == "failure domain zone-b is set", line
        asked_by = line["operation"].partition("/")[0]
        address = context.platform.find_address("replica-2")
        assert asked_by == address, (asked_by, address)
        assert line["inputs"]["version_before"] == 0, line
        assert line["inputs"]["state"] == "out", line
        context.index = line["inputs"]["index"]


@behave.then("every entry instance logs that it obeys")
def check_entry_logs(context):
    for entry in ENTRIES:
        (line,) = processes.wait_until(
            lambda one=entry: late_orders.list_lines(
                context.platform, one, "take up failure domains"
            )
        )
        assert line["inputs"]["out"] == ["zone-b"], line
        assert line["inputs"]["index"] >= context.index, line
