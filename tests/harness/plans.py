"""Reads fleet plans and writes the settings files of their instances."""

import configparser
import pathlib
import typing

ADDRESS = "127.0.0.1"
PORTS_PER_INSTANCE = 4


class InstancePlan(typing.NamedTuple):
    """Plan of one instance, on ports base_port to base_port + 3."""

    name: str
    failure_domain: str
    roles: str
    base_port: int

    @property
    def callers(self):
        """`ADDRESS:PORT` of the callers listener."""
        return f"{ADDRESS}:{self.base_port}"

    @property
    def upstreams(self):
        """`ADDRESS:PORT` of the upstreams listener, for announcements."""
        return f"{ADDRESS}:{self.base_port + 1}"

    @property
    def operators(self):
        """`ADDRESS:PORT` of the operators listener."""
        return f"{ADDRESS}:{self.base_port + 2}"

    @property
    def peers_port(self):
        """Port of the peers listener, for other instances."""
        return self.base_port + 3


class UpstreamPlan(typing.NamedTuple):
    """Plan of one stand-in upstream; `models` is empty for plain services."""

    name: str
    failure_domain: str
    service: str
    models: str
    port: int


class FleetPlan(typing.NamedTuple):
    """Plan of a fleet with its stand-in upstreams and demonstration keys."""

    name: str
    instances: tuple[InstancePlan, ...]
    upstreams: tuple[UpstreamPlan, ...]
    account_key: str
    operator_key: str
    proxy_port: int

    def find_instance(self, name):
        """Return the InstancePlan of a name."""
        return next(one for one in self.instances if one.name == name)

    def list_domains(self):
        """Return the names of the failure domains in sorted order."""
        return sorted({one.failure_domain for one in self.instances})

    def list_in_domain(self, domain):
        """Return the InstancePlans of a failure domain."""
        return [one for one in self.instances if one.failure_domain == domain]


def load_plan(path):
    """Return the FleetPlan that a fleet.ini file describes."""
    parser = configparser.ConfigParser()
    parser.read(path)
    fleet = parser["fleet"]
    base = fleet.getint("base_port")
    instances = []
    upstreams = []
    upstream_port = base + 200
    for domain in fleet["failure_domains"].split():
        section = parser[f"failure_domain {domain}"]
        replicas = section.get("replicas", "").split()
        for name in section["instances"].split():
            roles = "entry, replica" if name in replicas else "entry"
            port = base + PORTS_PER_INSTANCE * len(instances)
            instances.append(InstancePlan(name, domain, roles, port))
        for service in fleet["services"].split():
            models = parser[f"service {service}"].get("models", "")
            for number in range(section.getint(service)):
                name = f"{service}-{domain}-{number + 1}"
                upstreams.append(
                    UpstreamPlan(name, domain, service, models, upstream_port)
                )
                upstream_port += 1
    return FleetPlan(
        fleet["name"],
        tuple(instances),
        tuple(upstreams),
        fleet["account_key"],
        fleet["operator_key"],
        base + 300,
    )


def plan_links(plan):
    """Return {"a>b": (listen port, target port)} for a proxied fleet.

    The links of callers and engines are not proxied here; `up:NAME` is the
    link between the instances and one upstream.
    """
    links = {}
    port = plan.proxy_port + 1
    for source in plan.instances:
        for target in plan.instances:
            if source.name != target.name:
                key = f"{source.name}>{target.name}"
                links[key] = (port, target.peers_port)
                port += 1
    for upstream in plan.upstreams:
        links[f"up:{upstream.name}"] = (port, upstream.port)
        port += 1
    return links


def write_settings(plan, folder, run_folder, links=None, extra=None):
    """Write the settings file NAME.ini of each instance of a plan.

    Args:
        plan: the FleetPlan.
        folder: folder of the settings files.
        run_folder: folder of keys, data and time lines, relative to
            `folder`.
        links: result of plan_links if the fleet runs behind the proxy.
        extra: additional options, as {section: {option: value}}.
    """
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    for instance in plan.instances:
        parser = configparser.ConfigParser()
        _add_settings(parser, plan, instance, run_folder, links)
        for section, options in (extra or {}).items():
            if not parser.has_section(section):
                parser.add_section(section)
            for option, value in options.items():
                parser.set(section, option, str(value))
        with open(folder / f"{instance.name}.ini", "w") as file:
            parser.write(file)


def _add_settings(parser, plan, instance, run_folder, links):
    name = instance.name
    parser["instance"] = {
        "name": name,
        "failure_domain": instance.failure_domain,
        "roles": instance.roles,
        "timeline_file": f"{run_folder}/{name}.timeline.jsonl",
    }
    if "replica" in instance.roles:
        parser["instance"]["data_folder"] = f"{run_folder}/{name}.data"
    for offset, section in enumerate(
        ("callers", "upstreams", "operators", "peers")
    ):
        parser[section] = {
            "address": ADDRESS,
            "port": str(instance.base_port + offset),
        }
    parser["operators"]["key_hashes"] = f"{run_folder}/operators"
    parser["peers"][
        "secret_key"
    ] = f"{run_folder}/keys/secret/{name}.key_secret"
    parser["peers"]["known_keys"] = f"{run_folder}/keys/public"
    for other in plan.instances:
        if other.name == name:
            continue
        port = other.peers_port
        if links:
            port = links[f"{name}>{other.name}"][0]
        parser[f"instance {other.name}"] = {
            "failure_domain": other.failure_domain,
            "roles": other.roles,
            "address": ADDRESS,
            "port": str(port),
        }
