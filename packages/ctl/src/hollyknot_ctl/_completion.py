"""The command `hollyknotctl completion`, which prints a shell script."""

import click
from click.shell_completion import get_completion_class

from hollyknot_ctl._output import echo_json, examples, json_option

_PROGRAM = "hollyknotctl"


@click.command(
    epilog=examples(
        "hollyknotctl completion bash > ~/.hollyknotctl.bash",
    ),
)
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@json_option
@click.pass_context
def completion(context: click.Context, shell: str, as_json: bool) -> None:
    """Print the script that completes commands and options in a shell."""
    found = get_completion_class(shell)
    assert found is not None
    root = context.find_root().command
    variable = f"_{_PROGRAM.upper()}_COMPLETE"
    script = found(root, {}, _PROGRAM, variable)
    # `source()` is avoided: for bash it starts a shell to read its version.
    text = script.source_template % script.source_vars()
    if as_json:
        echo_json({"shell": shell, "script": text})
    else:
        click.echo(text)
