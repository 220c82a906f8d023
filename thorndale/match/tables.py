"""Writes grammar.tables beside the grammar: `python -m thorndale.match.tables`, after each change of either."""

from pathlib import Path

from thorndale.match.parse import built


def main():
    build, seal = built()
    with open(Path(__file__).with_name("grammar.tables"), "wb") as file:
        file.write(seal)
        build().save(file)


if __name__ == "__main__":
    main()
