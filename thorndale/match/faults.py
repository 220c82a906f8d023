"""The package's errors: every fault of a text, each with its place."""

from typing import NamedTuple


class Fault(NamedTuple):
    """`line` and `column` count from 1; `text` says what is wrong and what to do."""

    line: int
    column: int
    text: str


class MatchError(Exception):
    """A text that cannot be used. `faults` is a list of Fault, by place."""

    def __init__(self, faults, source="", name="rules"):
        self.faults, self.source, self.name = sorted(faults), source, name
        super().__init__(self.show())

    def show(self):
        """Each fault as `name:line:column: text`, its line and a caret below."""
        lines, out = self.source.split("\n"), []
        for fault in self.faults:
            out.append(f"{self.name}:{fault.line}:{fault.column}: {fault.text}")
            if 0 < fault.line <= len(lines):
                line = lines[fault.line - 1]
                shift = max(0, fault.column - 60)
                out += [f"    {line[shift : shift + 100]}", "    " + " " * (fault.column - 1 - shift) + "^"]
        return "\n".join(out)
