"""Prints the figures of a benchmark beside those of its last run, and stores them."""

from __future__ import annotations

import dataclasses
import datetime
import json
import pathlib

RESULTS_FOLDER = pathlib.Path(__file__).parent / "results"


@dataclasses.dataclass(frozen=True)
class Figure:
    """One measured value.

    Attributes:
        name: What was measured.
        value: The value.
        unit: Its unit.
        target: The highest value that meets the target, or the lowest where `is_floor`.
        is_floor: Whether the target is a lower bound.
    """

    name: str
    value: float
    unit: str
    target: float | None = None
    is_floor: bool = False

    @property
    def verdict(self) -> str:
        """`met` or `MISSED`; empty without a target."""
        if self.target is None:
            return ""
        is_met = (
            self.value >= self.target if self.is_floor else (self.value <= self.target)
        )
        return "met" if is_met else "MISSED"


def report(benchmark: str, figures: list[Figure]) -> None:
    """Print figures beside those of the last stored run, and store them.

    Args:
        benchmark: Name of the benchmark, and of its file of results.
        figures: The figures in the order in which they are printed.
    """
    results_path = RESULTS_FOLDER / f"{benchmark}.jsonl"
    last_figures = _last_figures(results_path)
    print(f"{benchmark}:")
    for figure in figures:
        last_value = last_figures.get(figure.name)
        target_text = "" if figure.target is None else f"target {figure.target:g}"
        last_text = "" if last_value is None else f"was {last_value:.4g}"
        print(
            f"  {figure.name:<46} {figure.value:>11.4g} {figure.unit:<12}"
            f" {target_text:<14} {figure.verdict:<7} {last_text}"
        )
    RESULTS_FOLDER.mkdir(exist_ok=True)
    run = {
        "date": datetime.date.today().isoformat(),
        "figures": {figure.name: round(figure.value, 6) for figure in figures},
    }
    with results_path.open("a") as file:
        file.write(json.dumps(run) + "\n")


def _last_figures(results_path: pathlib.Path) -> dict[str, float]:
    if not results_path.exists():
        return {}
    runs = results_path.read_text().splitlines()
    figures: dict[str, float] = json.loads(runs[-1])["figures"] if runs else {}
    return figures
