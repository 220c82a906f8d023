"""`python -m thorndale`: the command line."""

from thorndale.cli.main import app

app()
