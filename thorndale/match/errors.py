"""Errors of the matching language: all diagnostics of a text, each with its position."""

from typing import NamedTuple


class Diagnostic(NamedTuple):
    """`line` and `column` count from 1; `text` describes the error and how to fix it."""

    line: int
    column: int
    text: str


class MatchError(Exception):
    """A text with errors. `diagnostics` is a list of Diagnostic, sorted by position."""

    def __init__(self, diagnostics, source="", name="rules"):
        self.diagnostics, self.source, self.name = sorted(diagnostics), source, name
        super().__init__(self.show())

    def show(self):
        """Formats each diagnostic as `name:line:column: text`, followed by its source line and a caret."""
        lines, out = self.source.split("\n"), []
        for diagnostic in self.diagnostics:
            out.append(f"{self.name}:{diagnostic.line}:{diagnostic.column}: {diagnostic.text}")
            if 0 < diagnostic.line <= len(lines):
                line = lines[diagnostic.line - 1]
                shift = max(0, diagnostic.column - 60)
                out += [f"    {line[shift : shift + 100]}", "    " + " " * (diagnostic.column - 1 - shift) + "^"]
        return "\n".join(out)
