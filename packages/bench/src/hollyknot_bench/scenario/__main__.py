"""Runs the scenario on each policy: `python -m hollyknot_bench.scenario`."""

import click

from hollyknot_bench.scenario._load import Scenario
from hollyknot_bench.scenario._measures import measure
from hollyknot_bench.scenario._play import play
from hollyknot_bench.scenario._policies import Policy
from hollyknot_bench.scenario._report import render, to_json


@click.command()
@click.option("--seed", default=1, show_default=True, help="Of the load.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def main(seed: int, as_json: bool) -> None:
    """Play the same seeded load on each policy and print the figures."""
    scenario = Scenario()
    runs = tuple(
        measure(scenario, policy.value, play(scenario, policy, seed))
        for policy in Policy
    )
    click.echo(to_json(seed, runs) if as_json else render(runs))


if __name__ == "__main__":
    main()
