"""`python -m hollyknot_ctl.reference FOLDER` writes FOLDER/reference/*.md."""

import pathlib

import click

from hollyknot_ctl.reference._pages import render_pages


@click.command()
@click.argument("folder", type=click.Path(path_type=pathlib.Path))
def write_pages(folder: pathlib.Path) -> None:
    """Write the reference pages to FOLDER/reference."""
    target = folder / "reference"
    target.mkdir(parents=True, exist_ok=True)
    for name, text in render_pages().items():
        (target / name).write_text(text, encoding="utf-8")
        click.echo(f"wrote {target / name}")


write_pages()
