"""The bounds on what callers can fill: who loses an item at the bound, in any order of events."""

from hypothesis import given
from hypothesis import strategies as st

from thorndale.platform.bounds import MAX_ITEMS, MIN_ITEMS, FairBound, items_within
from thorndale.platform.callers import CallerConnection


def connection(key, confirmed=False):
    made = CallerConnection(key, 0)
    made.confirmed = confirmed
    return made


def test_the_bound_follows_the_memory_limit_between_its_ends():
    assert [items_within(mb) for mb in (1, 64, 96, 4096)] == [MIN_ITEMS, 6_400, 9_600, MAX_ITEMS]


def test_an_owner_that_fills_the_bound_loses_its_own_oldest_item():
    bound, steady, flooding = FairBound(10), connection("a"), connection("b")
    for item in "abcd":
        bound.add(0, item, steady)
    for number in range(50):
        victim = bound.add(number, number, flooding)
        if victim is not None:
            assert victim == number - 6
            bound.remove(victim)
    assert len(bound) == 10 and all(item in bound for item in "abcd")


def test_items_of_unconfirmed_owners_are_given_up_before_those_of_confirmed_ones():
    bound, caller, stranger = FairBound(10), connection("a", confirmed=True), connection("b")
    for number in range(9):
        bound.add(0, number, caller)
    bound.add(0, "first", stranger)
    assert bound.add(0, "another", caller) == "first"


# Peers that connect anew for each few items must not outlast a steady connection that is not confirmed yet.
def test_the_items_of_connections_that_have_ended_count_together():
    bound, steady = FairBound(10), connection("a")
    for item in "abcd":
        bound.add(0, item, steady)
    for number in range(100):
        one_of_many = connection(number)
        victim = bound.add(number, number, one_of_many)
        if victim is not None:
            bound.remove(victim)
        bound.owner_departed(one_of_many)
    assert all(item in bound for item in "abcd") and len(bound) == 10


@given(st.lists(st.tuples(st.sampled_from(("add", "remove", "depart")), st.integers(0, 30), st.integers(0, 4))))
def test_in_any_order_the_bound_holds_and_everything_can_be_removed(steps):
    bound, owners = FairBound(8), [connection(n, confirmed=n == 0) for n in range(5)]
    for now, (step, item, owner) in enumerate(steps):
        if step == "add":
            victim = bound.add(now, item, owners[owner])
            if victim is not None:
                assert victim in bound
                bound.remove(victim)
        elif step == "remove":
            bound.remove(item)
        else:
            bound.owner_departed(owners[owner])
            owners[owner] = connection(owner, confirmed=owner == 0)
        assert len(bound) <= 8
    while oldest := bound.added_until(len(steps)):
        for item in oldest:
            bound.remove(item)
    assert len(bound) == 0
