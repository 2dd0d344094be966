"""The command `hollyknotctl explain`, which explains a request."""

import sys
from collections.abc import Iterator

import click

from hollyknot_coordination.classification import (
    Absent,
    Classification,
    Explanation,
    ModelCall,
    ServiceCall,
    authenticate,
    explain,
    index_keys,
)
from hollyknot_coordination.retries import http_status
from hollyknot_ctl._documents import read_declarations
from hollyknot_ctl._output import (
    EXIT_BAD_INPUT,
    echo_json,
    examples,
    fail,
    json_option,
    printable,
)
from hollyknot_state import Declarations, Target, Verdict


@click.command(
    "explain",
    epilog=examples(
        "hollyknotctl explain d.json --customer desk --model drafts",
        "hollyknotctl explain d.json --key --service permits < key.txt",
    ),
)
@click.argument("declarations", metavar="DECLARATIONS")
@click.option("--customer", help="The customer's name.")
@click.option(
    "--key", is_flag=True, help="Read the bearer key from standard input."
)
@click.option(
    "--class", "class_name", help="Value of the header X-Request-Class."
)
@click.option("--model", help="Name of the model that is called.")
@click.option("--service", help="Name of the service that is called.")
@click.option("--method", default="GET", show_default=True)
@click.option("--path", default="/", show_default=True)
@json_option
def explain_command(
    declarations: str,
    customer: str | None,
    key: bool,
    class_name: str | None,
    model: str | None,
    service: str | None,
    method: str,
    path: str,
    as_json: bool,
) -> None:
    """Explain how a request would be handled, and why.

    The customer is given by name or by its bearer key. The key is read from
    standard input, so that it stays out of the shell's history.
    """
    if (customer is None) != key or (model is None) == (service is None):
        fail(
            "give one of --customer and --key, and one of --model and"
            " --service",
            EXIT_BAD_INPUT,
        )
    declared = read_declarations(declarations)
    name = _find_customer(declared, customer)
    call: ModelCall | ServiceCall = ModelCall(model or "")
    if service is not None:
        call = ServiceCall(service, method, path)
    if isinstance(name, Verdict):
        found = Explanation(name, http_status(name))
    else:
        found = explain(
            declared,
            name,
            Absent.CLASS if class_name is None else class_name,
            call,
        )
    if as_json:
        echo_json(found)
        return
    for line in _lines(found):
        click.echo(printable(line))


def _find_customer(declared: Declarations, name: str | None) -> str | Verdict:
    if name is not None:
        return name
    key = sys.stdin.buffer.read().strip(b" \t\r\n")
    header = "Bearer " + key.decode("utf-8", "surrogateescape")
    return authenticate(index_keys(declared.customers), header)


def _lines(found: Explanation) -> Iterator[str]:
    result = found.result
    if isinstance(result, Verdict):
        yield (
            f"refused: {result.outcome.value}, {result.reason.value}"
            f" (HTTP {found.status}): {result.detail}"
        )
        return
    yield f"customer: {result.customer}"
    yield f"class: {result.request_class} ({result.class_reason.value})"
    yield f"tier: {result.tier}"
    yield f"target: {_target(result.target)}"
    yield f"pool: {result.pool}"
    yield from _nature_lines(result)
    yield f"retried if proved not run: {_yes_no(found.is_retried_if_not_run)}"
    yield f"retried if it may have run: {_yes_no(found.is_retried_if_lost)}"
    yield "possible refusals:"
    for refusal in found.refusals:
        status = refusal.status or "the upstream's status"
        yield (
            f"  {refusal.reason.value} ({refusal.outcome.value}, {status}):"
            f" {refusal.when}"
        )


def _nature_lines(result: Classification) -> Iterator[str]:
    pattern = f" by {result.pattern}" if result.pattern else ""
    yield (
        f"nature: {result.nature.value} ({result.nature_reason.value}{pattern})"
    )
    if result.needs_idempotency_key:
        yield (
            "Idempotency-Key: needed, a UUID of version 7,"
            f" remembered for {result.remember_s} s"
        )
    else:
        yield "Idempotency-Key: not needed"


def _target(target: Target) -> str:
    parts = (
        ("first token within", target.first_token_ms),
        ("between tokens", target.between_tokens_ms),
        ("whole answer within", target.whole_answer_ms),
    )
    return ", ".join(f"{text} {ms} ms" for text, ms in parts if ms)


def _yes_no(value: bool) -> str:
    return "yes" if value else "no"
