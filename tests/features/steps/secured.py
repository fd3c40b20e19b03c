"""Step definitions for keys, TLS, metrics and control traffic."""

import ssl
import time

import behave
import httpcore
import trustme
import zmq
import zmq.auth

from camphorhook import keys
from camphorhook_common import wire
from tests.features.steps import whole_path
from tests.harness import callers
from tests.harness import plans
from tests.harness import processes
from tools import readings

WAIT_MS = 1500


@behave.when("an instance with an unknown key asks a1 for its status")
def request_with_unknown_key(context):
    folder = context.fleet.folder / "stranger"
    keys.make_instance_keys(folder, ["stranger"])
    secret = folder / "secret" / "stranger.key_secret"
    public, private = zmq.auth.load_certificate(str(secret))
    known = context.fleet.folder / "keys" / "public" / "a1.key"
    server_key, _ = zmq.auth.load_certificate(str(known))
    port = context.fleet.plan.find_instance("a1").peers_port
    with zmq.Context() as zmq_context:
        with zmq_context.socket(zmq.DEALER) as socket:
            socket.linger = 0
            socket.curve_publickey = public
            socket.curve_secretkey = private
            socket.curve_serverkey = server_key
            socket.connect(f"tcp://127.0.0.1:{port}")
            kind, body = wire.encode(wire.ShowStatus("stranger"))
            head = kind.encode() + b"\0" * 11 + b"\1"
            socket.send(head + body)
            context.is_answered = bool(socket.poll(WAIT_MS))


@behave.then("it gets no answer")
def check_not_answered(context):
    assert not context.is_answered


@behave.when("a caller announces an upstream of {domain:Word} to a1")
def announce_foreign_upstream(context, domain):
    fields = {
        "name": "forged",
        "failure_domain": domain,
        "service": "stringmind",
        "address": "127.0.0.1",
        "port": 1,
        "incarnation": 1,
        "sequence": 1,
        "ttl_ms": 1000,
    }
    address = context.fleet.plan.find_instance("a1").upstreams
    reply = callers.send("POST", address, "/announcements", body=fields)
    context.replies.append(reply)


@behave.then("the announcement is refused and names {domain:Word}")
def check_announcement(context, domain):
    reply = context.replies[-1]
    assert reply.status == 400 and domain in reply.body.decode(), reply


@behave.when("an instance with a certificate starts in addition to the fleet")
def start_with_certificate(context):
    fleet = context.fleet
    authority = trustme.CA()
    certificate = authority.issue_cert("127.0.0.1")
    folder = fleet.folder
    authority.cert_pem.write_to_path(folder / "authority.pem")
    certificate.private_key_pem.write_to_path(folder / "tls.key")
    certificate.cert_chain_pems[0].write_to_path(folder / "tls.pem")
    base = fleet.plan.proxy_port + 250
    secured = plans.InstancePlan("t1", "zone-a", "entry", base)
    instances = (*fleet.plan.instances, secured)
    plan = fleet.plan._replace(instances=instances)
    keys.make_instance_keys(folder / "keys", ["t1"])
    tls = {"tls_certificate": "tls.pem", "tls_key": "tls.key"}
    plans.write_settings(
        plan, folder / "secured", "..", extra={"callers": tls}
    )
    path = folder / "t1.ini"
    text = (folder / "secured" / "t1.ini").read_text()
    path.write_text(text.replace("../", "./"))
    command = processes.run_program("camphorhookd", "--config", path)
    context.secured = processes.Process("t1", command, folder / "t1.log")
    context.secured_address = secured.callers


@behave.then("it answers the readiness probe over TLS")
def check_tls(context):
    authority = context.fleet.folder / "authority.pem"
    trusted = ssl.create_default_context(cafile=str(authority))
    pool = httpcore.ConnectionPool(ssl_context=trusted)

    def is_answered():
        url = f"https://{context.secured_address}/readyz"
        try:
            return pool.request("GET", url).status in (200, 503)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return False

    try:
        processes.wait_until(is_answered, what="readiness over TLS")
    finally:
        pool.close()
        context.secured.kill()


@behave.when("the metrics and probes of {name:Word} are read without a key")
def read_metrics(context, name):
    instance = context.fleet.plan.find_instance(name)
    context.counts = readings.read_control_bytes(instance.operators)
    address = whole_path.find_address(context, name)
    for path in ("/livez", "/readyz"):
        context.replies.append(callers.send("GET", address, path))


@behave.then("the metrics count control bytes by kind")
def check_metrics(context):
    assert context.counts.get(("ex", "sent")), context.counts


@behave.then("the probes report alive and ready")
def check_probes(context):
    states = [reply.json()["status"] for reply in context.replies]
    assert states == ["alive", "ready"], states


@behave.when("the fleet is idle for {seconds:d} seconds")
def measure_idle_traffic(context, seconds):
    def read_all():
        return {
            one.name: readings.read_control_bytes(one.operators)
            for one in context.fleet.plan.instances
        }

    before = read_all()
    time.sleep(seconds)
    after = read_all()
    context.rates = {
        name: (sum(after[name].values()) - sum(before[name].values()))
        / seconds
        for name in after
    }
    for name, counts in after.items():
        kinds = {
            kind: (count - before[name].get(kind, 0)) / seconds
            for kind, count in counts.items()
        }
        print(f"control bytes a second of {name}: {kinds}")


@behave.then(
    "no instance spent more than {limit:d} bytes per second on control traffic"
)
def check_rates(context, limit):
    assert min(context.rates.values()) > 0, context.rates
    assert max(context.rates.values()) <= limit, context.rates
    print(f"control bytes a second: {context.rates}")
