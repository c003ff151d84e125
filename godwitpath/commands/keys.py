"""Commands that create and hash API keys, and create CURVE key pairs of entries."""

from __future__ import annotations

import dataclasses
import sys

import typer

from godwitpath.commands.console import JsonOption, print_json
from godwitpath.errors import GodwitpathError
from godwitpath.security import keys as api_keys
from godwitpath.security.curve import generate_key_pair

app = typer.Typer(help="API keys of client accounts, and key pairs of entries.")


@app.command("new")
def new(json_output: JsonOption = False) -> None:
    """Make an API key: give the key to the caller, and put the hash into the configuration.

    Example: godwitpath keys new
    """
    key = api_keys.generate_key()
    salted_hash = dataclasses.asdict(api_keys.salted_hash(key))
    if json_output:
        print_json({"key": key, "configuration": salted_hash})
        return
    typer.echo(f"key for the caller, shown only now: {key}")
    typer.echo("entry for accounts.NAME.keys of the configuration:")
    print_json(salted_hash)


@app.command("hash")
def hash_key(json_output: JsonOption = False) -> None:
    """Hash an API key read from standard input, for the configuration.

    Example: printf %s "$KEY" | godwitpath keys hash
    """
    key = sys.stdin.readline().rstrip("\r\n")
    if not key or len(key) > api_keys.MAX_KEY_CHARS:
        raise GodwitpathError(f"a key has 1 to {api_keys.MAX_KEY_CHARS} characters")
    print_json(dataclasses.asdict(api_keys.salted_hash(key)))


@app.command("curve")
def curve(json_output: JsonOption = False) -> None:
    """Make the CURVE key pair of an entry, for peer.public_key and peer.secret_key.

    To rotate, first add the new public key to accepted_public_keys of every entry beside the
    old one, then give the entry its new pair, then remove the old public key everywhere.

    Example: godwitpath keys curve --json
    """
    pair = generate_key_pair()
    fields = dataclasses.asdict(pair)
    print_json(fields if json_output else {"peer": fields})
