"""Writes an experiment as a Markdown report, with plots if matplotlib is installed."""

from pathlib import Path

from troutswitch.standalone.simulation.experiment import PolicyRun

COLUMNS = (
    ("batch_items_per_second", "batch items/s"),
    ("batch_share_of_ideal", "share of ideal"),
    ("online_first_token_p99_ms", "first token p99 ms"),
    ("online_gap_p99_ms", "gap p99 ms"),
    ("harm_ratio", "harm ratio"),
    ("prefix_hit_share", "prefix hits"),
)


def table(runs: dict[str, PolicyRun]) -> str:
    """Returns the figures as a Markdown table."""
    header = "| policy | " + " | ".join(title for _, title in COLUMNS) + " |"
    rule = "| --- |" + " ---: |" * len(COLUMNS)
    rows = [
        f"| {name} | " + " | ".join(f"{getattr(run.result, key):.3f}" for key, _ in COLUMNS) + " |"
        for name, run in runs.items()
    ]
    return "\n".join([header, rule, *rows])


def write_report(
    directory: Path, title: str, runs: dict[str, PolicyRun], ideal: float
) -> list[Path]:
    """Writes `report.md` and, if matplotlib is installed, its plots; returns the files."""
    directory.mkdir(parents=True, exist_ok=True)
    plots = _write_plots(directory, runs)
    lines = [
        f"# {title}",
        "",
        f"An ideal schedule that knows all arrivals completes {ideal:.2f} batch items per second.",
        "The harm ratio is the larger of first token p99 and gap p99, relative to no batch.",
        "",
        table(runs),
        "",
        *(f"![{path.stem}]({path.name})" for path in plots),
    ]
    if not plots:
        lines.append("No plots: install the extra `report` for them.")
    report = directory / "report.md"
    report.write_text("\n".join(lines) + "\n")
    return [report, *plots]


def _write_plots(directory: Path, runs: dict[str, PolicyRun]) -> list[Path]:
    try:
        import matplotlib
    except ImportError:
        return []
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots()
    for name, run in runs.items():
        start = run.batch_done[0][0] if run.batch_done else 0.0
        axes.plot(
            [at - start for at, _ in run.batch_done], [n for _, n in run.batch_done], label=name
        )
    axes.set(xlabel="seconds", ylabel="batch items completed", title="Throughput against time")
    paths = [_save(figure, axes, directory / "throughput.png")]

    figure, axes = pyplot.subplots()
    for name, run in runs.items():
        values = [1000 * value for value in run.first_tokens]
        shares = [(index + 1) / len(values) for index in range(len(values))]
        axes.plot(values, shares, label=name)
    axes.set(xlabel="first token, ms", ylabel="share", xscale="log", title="First token")
    paths.append(_save(figure, axes, directory / "first_token.png"))

    figure, axes = pyplot.subplots()
    run = runs["stewarded"]
    start = run.occupancy[0][0] if run.occupancy else 0.0
    times = [at - start for at, _, _ in run.occupancy]
    axes.stackplot(
        times,
        [online for _, online, _ in run.occupancy],
        [batch for _, _, batch in run.occupancy],
        labels=["online", "batch"],
    )
    axes.set(xlabel="seconds", ylabel="sequences", title="Engine occupancy, stewarded")
    paths.append(_save(figure, axes, directory / "occupancy.png"))
    pyplot.close("all")
    return paths


def _save(figure: object, axes: object, path: Path) -> Path:
    axes.legend()  # type: ignore[attr-defined]
    figure.savefig(path, dpi=100)  # type: ignore[attr-defined]
    return path
