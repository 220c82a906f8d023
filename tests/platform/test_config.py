"""The configuration: both forms of the settings give the same map, and each error names its field."""

import json

import pytest
from platform_rig import SETTINGS, configuration

from thorndale.fields import InputError
from thorndale.platform.config import read
from thorndale.platform.errors import PlatformError
from thorndale.settings import flatten, module_settings

PAIRS = (
    "tickMs=1.0\tnInstances=3\tdiscovery=automatic\ttenants=\tclasses.count=2\tclasses.0.goalTimeMs=340.0\t"
    "classes.0.giveUpMs=3000.0\tclasses.0.worth=1.0\tclasses.0.lateWorth=0.25\tclasses.1.goalTimeMs=230.0\t"
    "classes.1.giveUpMs=2000.0\tclasses.1.worth=6.0\tclasses.1.lateWorth=0.25\tfamilyInfo.classHoldMs=2400.0,1900.0\t"
    "familyInfo.guardMs=250.0\tfamilyInfo.repeatMs=223.456\tfamilyInfo.skilledPools.count=2\t"
    "familyInfo.skilledPools.0=0,1\tfamilyInfo.skilledPools.1=0,1\tceilings.sendCap=5\tceilings.mostHeld=20000\t"
    "ceilings.mayCancel=true\tceilings.retryAfter=true\tceilings.maxRetryAfterMs=2000.0\trules.drainGraceMs=500.0\t"
    "rules.startCapacity=0.28\trules.warmUpMs=14000.0\trules.fallMultiple=2.0\trules.fallMs=1500.0"
)


def test_flat_pairs_and_nested_json_give_the_same_map():
    pairs = dict(part.split("=", 1) for part in PAIRS.split("\t"))
    found = module_settings(flatten(SETTINGS))
    assert found == module_settings(pairs)
    assert found["resend_us"] == 223_456 and found["type_pools"] == [[0, 1], [0, 1]] and found["client_quota"] == []


def test_a_configuration_as_the_page_has_it():
    config = read(json.dumps(configuration()))
    assert config.listen == ("127.0.0.1", 5080) and config.sockets == 1024 and config.connect_us == 500_000
    assert config.call_types[b"leaving-soon"].guard_us == 2_000_000 and config.known[0] == 1


def without(name):
    return {k: v for k, v in configuration().items() if k != name}


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("{", "not JSON"),
        ("[]", "no JSON object"),
        (json.dumps(without("feed")), "feed: is missing"),
        (json.dumps(configuration(listen="here")), "listen: 'here' is not HOST:PORT"),
        (json.dumps(configuration(listen="127.0.0.1:99999")), "listen"),
        (json.dumps(configuration(limits={"sockets": 8, "memory_mb": 32})), "limits.sockets"),
        (json.dumps(configuration(limits={"sockets": 64, "memory_mb": 0})), "limits.memory_mb"),
        (json.dumps(configuration(limits={"sockets": 64, "memory_mb": 1e999})), "seed or limits"),
        (json.dumps(configuration(seed="xyz")), "seed"),
        (json.dumps(configuration(settings=SETTINGS | {"tickMs": "soon"})), "'tickMs' is no number"),
        (json.dumps(configuration(settings=SETTINGS | {"nInstances": 0})), "'nInstances' is 0"),
        (json.dumps(configuration(settings=SETTINGS | {"rules": {}})), "rules.drainGraceMs"),
        (json.dumps(configuration(settings=SETTINGS | {"classes": 7})), "settings"),
        (json.dumps(configuration(settings=7)), "settings"),
    ],
)
def test_each_error_names_its_field(text, said):
    with pytest.raises(PlatformError, match=said.replace("(", r"\(")):
        read(text)


def test_what_is_no_plain_value_is_refused():
    with pytest.raises(InputError):
        flatten({"a": object()})
