"""Regular expressions without backtracking, compiled at load time to a DFA: one table look-up per character.

A pattern must match the whole text. The syntax has `.`, `[a-z]`, `[^...]`, `\\d`, `\\` before any other character,
`(...)`, `|`, `*`, `+`, `?`. Nested repetition does not blow up matching: the number of states is bounded at load time,
and the steps by the length of the text.
"""

from thorndale.match.errors import Diagnostic, MatchError

MAX_STATES = 400  # DFA states per pattern; a pattern that needs more is rejected
MAX_PATTERN_CHARS = 300
OTHER = "\U0010ffff"  # represents every character that the pattern does not name


class _Parser:
    """Parses a pattern to an NFA by Thompson's construction. Each fragment is a pair (start state, end state)."""

    def __init__(self, text):
        self.text, self.position = text, 0
        self.epsilon_edges, self.edges = [], []  # per state: targets; [(set or None, negated, target)]

    def state(self):
        self.epsilon_edges.append([])
        self.edges.append([])
        return len(self.epsilon_edges) - 1

    def reject(self, why):
        raise MatchError([Diagnostic(1, self.position + 1, why)], self.text, "form")

    def alternation(self, depth=0):
        if depth > 30:
            self.reject("brackets are nested deeper than 30")
        start, end = self.state(), self.state()
        while True:
            first, last = self.sequence(depth)
            self.epsilon_edges[start].append(first)
            self.epsilon_edges[last].append(end)
            if self.peek() != "|":
                return start, end
            self.position += 1

    def peek(self):
        return self.text[self.position] if self.position < len(self.text) else ""

    def sequence(self, depth):
        start = end = self.state()
        while self.peek() not in ("", "|", ")"):
            first, last = self.repetition(depth)
            self.epsilon_edges[end].append(first)
            end = last
        return start, end

    def repetition(self, depth):
        first, last = self.atom(depth)
        while self.peek() and self.peek() in "*+?":
            char = self.text[self.position]
            self.position += 1
            start, end = self.state(), self.state()
            self.epsilon_edges[start].append(first)
            self.epsilon_edges[last].append(end)
            if char in "*?":
                self.epsilon_edges[start].append(end)
            if char in "*+":
                self.epsilon_edges[last].append(first)
            first, last = start, end
        return first, last

    def atom(self, depth):
        char = self.text[self.position]
        self.position += 1
        if char == "(":
            first, last = self.alternation(depth + 1)
            if self.peek() != ")":
                self.reject("'(' has no ')'")
            self.position += 1
            return first, last
        if char in "*+?":
            self.position -= 1
            self.reject(f"nothing to repeat before {char!r}")
        charset, negated = None, False
        if char == "[":
            charset, negated = self.char_class()
        elif char == "\\":
            charset = self.escape()
        elif char != ".":
            charset = frozenset(char)
        first, last = self.state(), self.state()
        self.edges[first].append((charset, negated, last))
        return first, last

    def escape(self):
        char = self.peek()
        if not char:
            self.reject("nothing to escape after '\\'")
        self.position += 1
        return frozenset("0123456789") if char == "d" else frozenset(char)

    def char_class(self):
        negated = self.peek() == "^"
        self.position += negated
        charset, first = set(), True
        while first or self.peek() != "]":
            if not self.peek():
                self.reject("'[' has no ']'")
            first = False
            char = self.text[self.position]
            self.position += 1
            chars = self.escape() if char == "\\" else frozenset(char)
            if (
                self.peek() == "-"
                and self.text[self.position + 1 : self.position + 2] not in ("", "]")
                and len(chars) == 1
            ):
                self.position += 1
                end = self.text[self.position]
                self.position += 1
                if not 0 <= ord(end) - ord(min(chars)) <= 4096:
                    self.reject("a range that is reversed or spans more than 4096 characters")
                chars = frozenset(map(chr, range(ord(min(chars)), ord(end) + 1)))
            charset |= chars
        self.position += 1
        return frozenset(charset), negated


class Pattern:
    """A compiled pattern. `matches(text)` takes one table look-up per character."""

    __slots__ = ("text", "table", "accepts", "columns_by_char")

    def __init__(self, text):
        """Raises MatchError for a malformed pattern, or one that needs too many states."""
        self.text = text
        parser = _Parser(text)
        if len(text) > MAX_PATTERN_CHARS:
            parser.reject(f"longer than {MAX_PATTERN_CHARS} characters")
        start, end = parser.alternation()
        if parser.position < len(text):
            parser.reject("')' has no '('")
        alphabet = {c for edges in parser.edges for charset, _, _ in edges if charset for c in charset}
        if len(alphabet) > 5000:
            parser.reject("names more than 5000 different characters")
        groups = {}  # characters that no edge distinguishes share a column
        edge_sets = [
            (charset, negated) for edges in parser.edges for charset, negated, _ in edges if charset is not None
        ]
        for c in (*sorted(alphabet), OTHER):
            groups.setdefault(tuple((c in charset) != negated for charset, negated in edge_sets), []).append(c)
        column_of = {c: n for n, members in enumerate(groups.values()) for c in members}
        representatives = [members[0] for members in groups.values()]

        def epsilon_closure(states):
            seen = set(states)
            pending = list(seen)
            while pending:
                for target in parser.epsilon_edges[pending.pop()]:
                    if target not in seen:
                        seen.add(target)
                        pending.append(target)
            return frozenset(seen)

        first = epsilon_closure([start])
        state_numbers, order, table = {first: 0}, [first], []
        for states in order:
            row = []
            for c in representatives:
                reached = epsilon_closure(
                    target
                    for s in states
                    for charset, negated, target in parser.edges[s]
                    if charset is None or (c in charset) != negated
                )
                if reached not in state_numbers:
                    if len(state_numbers) >= MAX_STATES:
                        parser.reject(f"needs more than {MAX_STATES} states; simplify it")
                    state_numbers[reached] = len(order)
                    order.append(reached)
                row.append(state_numbers[reached])
            table.append(row)
        self.table, self.accepts = table, [end in states for states in order]
        self.columns_by_char = column_of

    def matches(self, text):
        state, table, columns, other = 0, self.table, self.columns_by_char, self.columns_by_char[OTHER]
        for c in text:
            state = table[state][columns.get(c, other)]
        return self.accepts[state]
