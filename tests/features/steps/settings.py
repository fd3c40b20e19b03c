"""Step definitions for settings files."""

import configparser
import pathlib
import subprocess

import behave

from camphorhook import keys
from tests.harness import plans
from tests.harness import processes
from tools import reference

BASE_PORT = 23000


def _write(context):
    with open(context.settings_path, "w") as file:
        context.parser.write(file)


@behave.given("valid settings")
def write_valid(context):
    instance = plans.InstancePlan("s1", "zone-s", "entry, replica", BASE_PORT)
    other = plans.InstancePlan("s2", "zone-s", "entry", BASE_PORT + 4)
    plan = plans.FleetPlan("settings", (instance, other), (), "", "", 0)
    folder = context.folder / "settings"
    plans.write_settings(plan, folder, ".")
    keys.make_instance_keys(folder / "keys", ["s1", "s2"])
    (folder / "operators").write_text("")
    context.settings_path = folder / "s1.ini"
    context.parser = configparser.ConfigParser()
    context.parser.read(context.settings_path)


@behave.given(
    "valid settings in which [{section}] {option:Word} is {value:Word}"
)
def write_invalid(context, section, option, value):
    write_valid(context)
    set_option(context, section, option, value)


@behave.given("[{section}] {option:Word} is {value:Word}")
def set_option(context, section, option, value):
    if not context.parser.has_section(section):
        context.parser.add_section(section)
    if value == "missing":
        context.parser.remove_option(section, option)
    else:
        context.parser.set(section, option, value)
    _write(context)


@behave.when("the settings are checked")
def check_settings(context):
    command = processes.run_program(
        "camphorhookd", "--config", context.settings_path, "--check"
    )
    context.done = subprocess.run(command, capture_output=True, text=True)


@behave.then(
    "the exit code is {code:d} and the fault names {section:Word}, "
    "{option:Word} and {word:Word}"
)
def check_fault(context, code, section, option, word):
    assert context.done.returncode == code, context.done
    text = context.done.stderr
    assert f"s1.ini: [{section}]" in text, text
    assert word in text, text
    if section != "weather":
        assert option in text, text


@behave.then("the exit code is {code:d} and {count:d} faults are listed")
def check_faults(context, code, count):
    assert context.done.returncode == code, context.done
    lines = context.done.stderr.strip().splitlines()
    assert len(lines) == count, lines


@behave.then("the exit code is {code:d}")
def check_code(context, code):
    assert context.done.returncode == code, context.done


@behave.then(
    "every settings file under examples has a section for each other instance"
)
def check_examples(context):
    folders = sorted(pathlib.Path("examples").iterdir())
    assert folders
    for folder in folders:
        plan = plans.load_plan(folder / "fleet.ini")
        for instance in plan.instances:
            parser = configparser.ConfigParser()
            parser.read(folder / f"{instance.name}.ini")
            known = {
                section.removeprefix("instance ")
                for section in parser.sections()
                if section.startswith("instance ")
            }
            others = {one.name for one in plan.instances} - {instance.name}
            assert known == others, (folder, instance.name, known)


@behave.when("the operators' command runs with unknown arguments")
def run_wrong_usage(context):
    command = processes.run_program("camphorhook", "paint", "fence")
    context.done = subprocess.run(command, capture_output=True, text=True)


@behave.then("it exits with {code:d} and shows its usage")
def check_usage(context, code):
    assert context.done.returncode == code, context.done
    assert "Usage" in context.done.stderr, context.done


@behave.then("docs/reference.md matches the output of tools.reference")
def check_reference(context):
    page = reference.OUTPUT.read_text()
    assert page == reference.render(), "run python -m tools.reference"
