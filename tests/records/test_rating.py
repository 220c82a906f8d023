"""Tariffs and rating: worked examples, invalid tariffs, and a comparison with a simple model."""

import datetime
from decimal import Decimal

import pytest

from thorndale.config.load import ConfigError
from thorndale.records.rate import Rater
from thorndale.records.record import Record
from thorndale.records.tariff import checked, load

BASE = {
    "currency": "XOF",
    "from_date": "2026-01-01",
    "until_date": "2027-01-01",
    "call_types": ["timetable", "leaving-soon"],
    "clients": ["sncd"],
}


def sheet(*tariffs, **more):
    return checked({**BASE, **more, "tariffs": list(tariffs)}, "t.json5")


def at(text, zone=datetime.UTC):
    return int(datetime.datetime.fromisoformat(text).replace(tzinfo=zone).timestamp()) * 1_000_000


def call(stood="2026-06-01T12:00:00", seconds=0.0, number="+22170000001", kind="timetable", client="", answered="yes"):
    begin = at(stood)
    return Record(
        "c",
        came_us=1,
        stood_us=1,
        ended_us=1 + int(seconds * 1e6),
        anchor_us=begin - 1,
        call_type=kind,
        client=client,
        number=number,
        answered=answered,
    )


def charges(tariffs, *records):
    rater = Rater(tariffs)
    return [rater.charge(record) for record in records]


def amounts(tariffs, *records):
    return [str(c.amount) for c in charges(tariffs, *records)]


PLAIN = {"name": "all", "per_call": "0.10", "per_interval": "0.02", "interval_s": 60}


def test_per_call_and_per_begun_interval():
    tariffs = sheet(PLAIN)
    assert amounts(
        tariffs,
        call(seconds=0),
        call(seconds=60),
        call(seconds=60.000001),
        call(seconds=59.999999),
        call(seconds=3 * 86400),
    ) == ["0.12", "0.12", "0.14", "0.12", "86.50"]


def test_what_was_not_answered_or_is_in_doubt_costs_nothing():
    tariffs = sheet(PLAIN)
    found = charges(tariffs, call(answered="no"), call(answered="doubt"))
    assert [(str(c.amount), c.why) for c in found] == [("0", "not answered"), ("0", "in doubt")]


def test_a_tariff_that_changes_at_midnight_within_a_call():
    old = {**PLAIN, "name": "old", "until_date": "2026-06-02", "per_interval": "0.02"}
    new = {**PLAIN, "name": "new", "from_date": "2026-06-02", "per_interval": "0.05", "interval_s": 30}
    tariffs = sheet(old, new)
    # 23:58:30 to 00:01:30: old intervals begin at 23:58:30 and 23:59:30, new ones at 00:00:30 and 00:01:00.
    found = charges(tariffs, call("2026-06-01T23:58:30", 180))[0]
    assert (str(found.amount), found.intervals, found.tariffs) == ("0.24", 4, ("old", "new"))
    # A call that ends exactly at midnight uses the old tariff only.
    assert charges(tariffs, call("2026-06-01T23:58:00", 120))[0].tariffs == ("old",)


def test_times_of_day_in_the_zone_of_the_tariff_and_over_midnight():
    day = {**PLAIN, "name": "day", "hours": "08:00-20:00", "per_interval": "0.10"}
    night = {**PLAIN, "name": "night", "hours": "20:00-08:00", "per_interval": "0.01"}
    tariffs = sheet(day, night, zone="Europe/Paris")
    # 05:59:30 UTC is 07:59:30 in Paris in June: the first interval has the night price.
    assert charges(tariffs, call("2026-06-01T05:59:30", 61))[0].tariffs == ("night", "day")
    assert amounts(tariffs, call("2026-06-01T05:59:30", 61), call("2026-12-01T06:59:30", 61)) == ["0.21", "0.21"]
    # When clocks go back, an hour occurs twice; both have the night price.
    assert charges(tariffs, call("2026-10-25T00:30:00", 7200))[0].tariffs == ("night",)


def test_the_most_specific_entry_applies():
    tariffs = sheet(
        PLAIN,
        {**PLAIN, "name": "ls", "call_type": "leaving-soon", "per_call": "5"},
        {**PLAIN, "name": "client", "client": "sncd", "per_call": "0.05"},
        {**PLAIN, "name": "prefix", "prefix": "+22133", "per_call": "1"},
    )
    assert [
        c.tariffs[0]
        for c in charges(
            tariffs,
            call(),
            call(kind="leaving-soon"),
            call(client="sncd"),
            call(kind="leaving-soon", client="sncd"),
            call(number="+2213355", client="sncd"),
        )
    ] == ["all", "ls", "client", "client", "prefix"]


def test_minimum_free_allowances_and_quota():
    tariffs = sheet({**PLAIN, "minimum": "0.50"})
    assert amounts(tariffs, call(seconds=10)) == ["0.50"]
    tariffs = sheet({**PLAIN, "free": {"per": "day", "intervals": 3}})
    assert amounts(
        tariffs, call(seconds=100), call(seconds=100), call(seconds=10), call("2026-06-02T00:00:00", 10)
    ) == ["0.10", "0.12", "0.12", "0.10"]
    tariffs = sheet(
        {**PLAIN, "quota": {"per": "month", "calls": 2, "beyond": {"per_call": "1", "per_interval": "0.5"}}}
    )
    assert amounts(tariffs, call(), call(), call(), call("2026-07-01T00:00:00")) == ["0.12", "0.12", "1.50", "0.12"]
    tariffs = sheet({**PLAIN, "quota": {"per": "day", "intervals": 2, "beyond": {"per_interval": "1"}}})
    assert amounts(tariffs, call(seconds=130), call()) == ["1.14", "1.10"]
    tariffs = sheet({**PLAIN, "free": {"per": "day", "calls": 1}})
    assert amounts(tariffs, call(client="sncd"), call(), call()) == ["0.00", "0.00", "0.12"]


def test_rounding_follows_the_tariff_file():
    third = {**PLAIN, "per_call": "0.005", "per_interval": "0"}
    for mode, wanted in (("half even", "0.00"), ("half up", "0.01"), ("up", "0.01"), ("down", "0.00")):
        assert amounts(sheet(third, rounding={"mode": mode}), call()) == [wanted]
    rater = Rater(sheet(third, rounding={"at": "total"}))
    for _ in range(3):
        rater.charge(call())
    assert str(rater.summed()[0][4]) == "0.02"


def test_calls_without_a_tariff_are_reported_as_unrated():
    tariffs = sheet(PLAIN)
    found = charges(tariffs, call("2027-03-01T00:00:00"), call(kind="odd"), call("2026-12-31T23:59:00", 300))
    assert [c.amount for c in found] == [None] * 3
    assert [c.why for c in found] == [
        "outside the tariffs' dates",
        "call type 'odd' has no tariff",
        "runs past the tariffs' dates",
    ]


def test_all_errors_of_a_tariff_file_are_reported_together():
    with pytest.raises(ConfigError) as raised:
        sheet(
            {**PLAIN, "name": "a", "until_date": "2026-05-01", "per_call": "-1"},
            {**PLAIN, "name": "b", "from_date": "2026-06-01", "call_type": "*", "per_interval": "x"},
            {**PLAIN, "name": "c", "call_type": "odd"},
            {**PLAIN, "name": "d", "client": "nobody"},
            {**PLAIN, "name": "e", "call_type": "leaving-soon", "hours": "08:00-20:00"},
            {**PLAIN, "name": "f", "call_type": "leaving-soon", "hours": "19:00-08:00"},
            {**PLAIN, "name": "a", "prefix": "+1", "days": ["mon", "tyu"]},
            {**PLAIN, "name": "g", "prefix": "+2", "quota": {"per": "day", "calls": 1, "intervals": 2}},
        )
    text = str(raised.value)
    for part in (
        "per_call: -1 is negative",
        "'x' is no amount",
        "'odd' is unknown",
        "'nobody' is unknown",
        "'e' and 'f' overlap on 2026-01-01 at mon 19:00",
        "a gap on 2026-05-01 from mon 00:00",
        "the name is already used at tariffs[0]",
        "'tyu' is none of",
        "needs either calls or intervals",
        "quota.beyond: is missing",
    ):
        assert part in text, (part, text)
    with pytest.raises(ConfigError, match="unknown name; 'tariffs' is meant"):
        checked({**BASE, "tarifs": []}, "t")
    with pytest.raises(ConfigError, match="'leaving-soon' has no tariff for all"):
        sheet({**PLAIN, "call_type": "timetable"})


def test_a_file_that_names_a_csv_file(tmp_path):
    (tmp_path / "t.json5").write_text(str({**BASE, "file": "t.csv"}).replace("'", '"'))
    (tmp_path / "t.csv").write_text(
        "\ufeffname;per_call;interval_s;per_interval;days;hours;quota.per;quota.calls;"
        "quota.beyond.per_call\nweek;0.1;30;0.02;mon tue wed thu fri;;day;1;9\n"
        "end;0.2;30;0.02;sat sun;;;;\n",
        encoding="utf-8",
    )
    tariffs = load(str(tmp_path / "t.json5"))
    assert amounts(tariffs, call("2026-06-01T12:00:00"), call("2026-06-01T12:00:00"), call("2026-06-06T12:00:00")) == [
        "0.12",
        "9.00",
        "0.22",
    ]
    (tmp_path / "t.csv").write_text("name,per_call\na,0.1,4\n")
    with pytest.raises(ConfigError, match="t.csv:2: more cells than the header"):
        load(str(tmp_path / "t.json5"))


def test_the_example_file_is_valid():
    tariffs = load("examples/tariffs.json5", ["timetable", "leaving-soon"])
    assert amounts(
        tariffs, call("2026-12-01T12:00:00", 61), call("2026-12-01T23:00:00", 61), call(kind="leaving-soon", seconds=10)
    ) == ["0.14", "0.12", "2.50"]
    assert charges(tariffs, call("2026-12-05T12:00:00"))[0].tariffs == ("week's end",)


def test_rating_agrees_with_a_simple_model():
    """The model: an interval begins when the previous one ends, at the price in force at that moment."""
    day = {**PLAIN, "name": "day", "hours": "06:00-22:00", "per_interval": "0.07", "interval_s": 90}
    night = {
        **PLAIN,
        "name": "night",
        "hours": "22:00-06:00",
        "per_interval": "0.03",
        "interval_s": 40,
        "until_date": "2026-06-10",
    }
    later = {**night, "name": "later", "from_date": "2026-06-10", "until_date": "2027-01-01", "per_interval": "0.04"}
    tariffs = sheet(day, night, later)
    state = 12345
    for _ in range(300):
        state = (state * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        begin = at("2026-06-08T00:00:00") + (state >> 33) % (4 * 86400) * 1_000_000
        seconds = (state >> 20) % 30_000
        cost, t = Decimal("0.10"), begin // 1_000_000
        end = t + seconds
        while True:
            moment = datetime.datetime.fromtimestamp(t, datetime.UTC)
            if 6 <= moment.hour < 22:
                price, step = "0.07", 90
            else:
                price, step = ("0.03" if moment.date() < datetime.date(2026, 6, 10) else "0.04"), 40
            cost, t = cost + Decimal(price), t + step
            if t >= end:
                break
        record = call(seconds=seconds)
        record.anchor_us = begin - 1
        assert charges(tariffs, record)[0].amount == cost.quantize(Decimal("0.01"))
