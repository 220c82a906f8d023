"""Regular forms that cannot backtrack: compiled at load to a table of states, one look-up a character.

A form is matched against the whole text. It knows `.`, `[a-z]`, `[^...]`, `\\d`, `\\` before any other sign, `(...)`,
`|`, `*`, `+`, `?`. Nested repetition is no matter: the number of states is bounded at load, the steps by the text.
"""

from thorndale.match.faults import Fault, MatchError

STATES_MOST = 400  # states of a form's table; a form that needs more is refused
LENGTH_MOST = 300  # characters of a form
OTHER = "\U0010ffff"  # stands for every character that the form does not name


class _Parser:
    """Thompson's construction: fragments of (start, end) over a list of edges by state."""

    def __init__(self, text):
        self.text, self.at = text, 0
        self.empty, self.edges = [], []  # by state: states reached without a character; [(set or None, negated, to)]

    def state(self):
        self.empty.append([])
        self.edges.append([])
        return len(self.empty) - 1

    def fail(self, why):
        raise MatchError([Fault(1, self.at + 1, why)], self.text, "form")

    def either(self, depth=0):
        if depth > 30:
            self.fail("brackets are nested deeper than 30")
        start, end = self.state(), self.state()
        while True:
            first, last = self.row(depth)
            self.empty[start].append(first)
            self.empty[last].append(end)
            if self.peek() != "|":
                return start, end
            self.at += 1

    def peek(self):
        return self.text[self.at] if self.at < len(self.text) else ""

    def row(self, depth):
        start = end = self.state()
        while self.peek() not in ("", "|", ")"):
            first, last = self.piece(depth)
            self.empty[end].append(first)
            end = last
        return start, end

    def piece(self, depth):
        first, last = self.one(depth)
        while self.peek() and self.peek() in "*+?":
            sign = self.text[self.at]
            self.at += 1
            start, end = self.state(), self.state()
            self.empty[start].append(first)
            self.empty[last].append(end)
            if sign in "*?":
                self.empty[start].append(end)
            if sign in "*+":
                self.empty[last].append(first)
            first, last = start, end
        return first, last

    def one(self, depth):
        sign = self.text[self.at]
        self.at += 1
        if sign == "(":
            first, last = self.either(depth + 1)
            if self.peek() != ")":
                self.fail("'(' has no ')'")
            self.at += 1
            return first, last
        if sign in "*+?":
            self.at -= 1
            self.fail(f"nothing stands before {sign!r}")
        named, negated = None, False
        if sign == "[":
            named, negated = self.members()
        elif sign == "\\":
            named = self.escaped()
        elif sign != ".":
            named = frozenset(sign)
        first, last = self.state(), self.state()
        self.edges[first].append((named, negated, last))
        return first, last

    def escaped(self):
        sign = self.peek()
        if not sign:
            self.fail("nothing stands after '\\'")
        self.at += 1
        return frozenset("0123456789") if sign == "d" else frozenset(sign)

    def members(self):
        negated = self.peek() == "^"
        self.at += negated
        named, first = set(), True
        while first or self.peek() != "]":
            if not self.peek():
                self.fail("'[' has no ']'")
            first = False
            sign = self.text[self.at]
            self.at += 1
            some = self.escaped() if sign == "\\" else frozenset(sign)
            if self.peek() == "-" and self.text[self.at + 1 : self.at + 2] not in ("", "]") and len(some) == 1:
                self.at += 1
                end = self.text[self.at]
                self.at += 1
                if not 0 <= ord(end) - ord(min(some)) <= 4096:
                    self.fail("a range that runs backwards or over 4096 signs")
                some = frozenset(map(chr, range(ord(min(some)), ord(end) + 1)))
            named |= some
        self.at += 1
        return frozenset(named), negated


class Form:
    """`matches(text)`: one look-up a character."""

    __slots__ = ("text", "table", "accepts", "letters")

    def __init__(self, text):
        """Raises MatchError for a form that is none, or needs too many states."""
        self.text = text
        parser = _Parser(text)
        if len(text) > LENGTH_MOST:
            parser.fail(f"longer than {LENGTH_MOST} characters")
        start, end = parser.either()
        if parser.at < len(text):
            parser.fail("')' has no '('")
        letters = {c for edges in parser.edges for named, _, _ in edges if named for c in named}
        if len(letters) > 5000:
            parser.fail("names more than 5000 different signs")
        groups = {}  # signs that no edge tells apart share a column
        every = [(named, negated) for edges in parser.edges for named, negated, _ in edges if named is not None]
        for c in (*sorted(letters), OTHER):
            groups.setdefault(tuple((c in named) != negated for named, negated in every), []).append(c)
        columns = {c: n for n, members in enumerate(groups.values()) for c in members}
        picks = [members[0] for members in groups.values()]

        def closed(states):
            seen = set(states)
            left = list(seen)
            while left:
                for to in parser.empty[left.pop()]:
                    if to not in seen:
                        seen.add(to)
                        left.append(to)
            return frozenset(seen)

        first = closed([start])
        numbers, order, table = {first: 0}, [first], []
        for states in order:
            row = []
            for c in picks:
                reached = closed(
                    to
                    for s in states
                    for named, negated, to in parser.edges[s]
                    if named is None or (c in named) != negated
                )
                if reached not in numbers:
                    if len(numbers) >= STATES_MOST:
                        parser.fail(f"needs more than {STATES_MOST} states; write it simpler")
                    numbers[reached] = len(order)
                    order.append(reached)
                row.append(numbers[reached])
            table.append(row)
        self.table, self.accepts = table, [end in states for states in order]
        self.letters = columns

    def matches(self, text):
        state, table, letters, other = 0, self.table, self.letters, self.letters[OTHER]
        for c in text:
            state = table[state][letters.get(c, other)]
        return self.accepts[state]
