"""Writes the parser tables to grammar.tables: run `python -m thorndale.match.tables` after each change of the grammar
or the lark version."""

from pathlib import Path

from thorndale.match.parse import parser_builder


def main():
    build, fingerprint = parser_builder()
    with open(Path(__file__).with_name("grammar.tables"), "wb") as file:
        file.write(fingerprint)
        build().save(file)


if __name__ == "__main__":
    main()
