"""The command `hollyknotctl hash-key`, which hashes a bearer key."""

import hashlib
import sys

import click

from hollyknot_ctl._output import (
    EXIT_BAD_INPUT,
    echo_json,
    examples,
    fail,
    json_option,
)

_BLANKS = b" \t\r\n"


@click.command(
    "hash-key",
    epilog=examples(
        "hollyknotctl hash-key < key.txt",
    ),
)
@json_option
def hash_key(as_json: bool) -> None:
    """Print the SHA-256 of the bearer key on standard input.

    The result is the value of a customer's key_sha256. White space around the
    key is stripped, as hosts do with the header.
    """
    key = sys.stdin.buffer.read().strip(_BLANKS)
    if not key:
        fail(
            "standard input has no key; pipe the key to this command",
            EXIT_BAD_INPUT,
        )
    if len(key.split()) > 1:
        fail(
            "the key contains white space, which a header can't carry; give one"
            " key without white space",
            EXIT_BAD_INPUT,
        )
    digest = hashlib.sha256(key).hexdigest()
    if as_json:
        echo_json({"key_sha256": digest})
    else:
        click.echo(digest)
