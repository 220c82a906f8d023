"""The adapter on hand-written protocol text."""

import io as streams

import pytest

from thorndale.adapter.host import serve

INFO = (
    "tickMs=5.0\tnInstances=2\tclasses.count=1\tclasses.0.goalTimeMs=1200.0\tclasses.0.giveUpMs=9000.0\t"
    "classes.0.worth=1.0\tfamilyInfo.guardMs=500.0\tceilings.sendCap=5\tceilings.mostHeld=100\ttenants=\t"
    "rules.drainGraceMs=500.0\trules.startCapacity=0.28\trules.warmUpMs=14000.0\trules.fallMultiple=2.0\t"
    "rules.fallMs=1500.0\tdiscovery=automatic\tceilings.mayCancel=true\tnew.key=7"
)
LIST = (
    "DEFINE_LIST\tref=0\titems=1\nITEM\tshare=1\tserver=51530247\tlifecycle=SERVING\tmodel=0\tnodeNo=4\tcampus=0\n"
    "UPDATE\tproxy=3\tform=disk\tseqNo=41\tref=0\n"
)
BOOT = f"BOOT\tproxy=3\tseed=5138197539985895\t{INFO}\n{LIST}"
CALL = "DEMAND\tproxy=3\ttid=3629755735380420\tpriority=0\tleftMs=2700.5\tdest=4\n"


def run(*batches):
    text = "".join(f"MARK\ttMs={1000 + 5 * n}.0\n{batch}COMMIT\n" for n, batch in enumerate(batches))
    sink, errors = streams.BytesIO(), streams.StringIO()
    code = serve(streams.BytesIO(text.encode()), sink, errors)
    return code, sink.getvalue().decode(), errors.getvalue()


def test_a_call_from_arrival_to_completion():
    answered = "UNDER_WAY\tproxy=3\ttid=3629755735380420\tcopy=0\tserver=51530247\tlagMs=18.5\n"
    ended = (
        "RESOLVED\tproxy=3\ttid=3629755735380420\tlagMs=18.5\tcode=completed\tdoneFlag=1\tserver=51530247\t"
        "copy=0\tstats=idle:0.4,circuits:1.25,latency_ms:-1\n"
    )
    code, reply, errors = run("", BOOT + CALL, answered, ended, "VANISHED\tproxy=3\ttid=3629755735380420\n")
    assert (code, errors, reply.count("END\n")) == (0, "", 5)
    assert "DELIVER\tproxy=3\ttid=3629755735380420\tserver=51530247\ttimeoutMs=2690.500\n" in reply
    assert "SAY_NO" not in reply and "ABORT" not in reply


def test_a_restart_within_a_batch_forgets_pending_calls():
    code, reply, _ = run(BOOT + CALL, f"POWER_OFF\tproxy=3\n{BOOT}{CALL}")
    assert code == 0 and reply.count("DELIVER") == 2


def test_a_reused_list_number_in_a_batch_means_the_list_before_each_update():
    other = LIST.replace("51530247", "99").replace("disk", "snapshot")
    code, reply, _ = run(BOOT, other + CALL)
    assert code == 0 and "server=99\t" in reply


def test_distribution_over_processes_makes_no_difference():
    together = BOOT + CALL + (BOOT + CALL).replace("proxy=3", "proxy=5")
    first, second = run(BOOT + CALL)[1], run((BOOT + CALL).replace("proxy=3", "proxy=5"))[1]
    assert run(together)[1] == first.replace("END\n", "") + second


@pytest.mark.parametrize(
    ("batch", "message"),
    [
        (CALL, "never started"),
        (BOOT + "WHAT\tproxy=3\n", "unknown event 'WHAT'"),
        (BOOT + CALL.replace("\tleftMs=2700.5", ""), "'leftMs' is missing"),
        (BOOT + CALL.replace("2700.5", "soon"), "'leftMs' is no number"),
        (BOOT.replace("\ttickMs=5.0", ""), "'tickMs' is missing"),
        (BOOT + "DEMAND\tproxy=3\tbare\n", "without '='"),
        (BOOT.replace("SERVING", "ASLEEP"), "unknown lifecycle"),
        (BOOT.replace("items=1", "items=2"), "ends short"),
    ],
)
def test_bad_input_ends_with_a_plain_message_that_names_the_line(batch, message):
    code, reply, errors = run(batch)
    assert code == 1 and message in errors and "line " in errors and "Traceback" not in errors
    assert "PANIC\tproxy=3\treasonText=" in reply and reply.endswith("END\n")


def test_input_that_ends_inside_a_batch_is_an_error():
    assert serve(streams.BytesIO(b"MARK\ttMs=1.0\n"), streams.BytesIO(), streams.StringIO()) == 1
    assert serve(streams.BytesIO(b""), streams.BytesIO(), streams.StringIO()) == 0


@pytest.mark.parametrize(("cause", "answer"), [("\tclearCode=4", "ABORT"), ("", "END")])
def test_the_cause_distinguishes_line_busy_from_a_signalling_fault(cause, answer):
    ended = "RESOLVED\tproxy=3\ttid=3629755735380420\tlagMs=9\tcode=errored\tserver=51530247\tcopy=0"
    assert run(BOOT + CALL, ended + cause + "\n")[1].split("END\n")[1].startswith(answer) or answer == "END"
