"""Pictures of the measured tails."""

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

__all__ = ["plot_probe_curve", "plot_tails", "plot_worth"]


def plot_tails(tails, path, *, title):
    """Write bars of the p99 of lookups per policy and load.

    :param tails: p99 in ms, one value per seed, by (load, policy)
    :param path: file to write, ``.svg`` or ``.png``
    """
    loads = sorted({load for load, _ in tails if isinstance(load, float)})
    policies = [policy for load, policy in tails if load == loads[0]]
    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    width = 0.8 / len(loads)
    for offset, load in enumerate(loads):
        medians = [sorted(tails[load, p])[len(tails[load, p]) // 2] for p in policies]
        places = [i + offset * width for i in range(len(policies))]
        axes.bar(places, medians, width, label=f"load {load:.0%}")
    middle = 0.4 - width / 2
    axes.set_xticks([i + middle for i in range(len(policies))], policies)
    axes.set_ylabel("p99 of lookups in ms, median of the seeds")
    axes.set_title(title)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def plot_probe_curve(points, path, *, title):
    """Write the p99 of lookups against the probes per second and upstream.

    :param points: (probes per second, p99 in ms) pairs
    :param path: file to write, ``.svg`` or ``.png``
    """
    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    axes.plot(*zip(*points, strict=True), marker="o")
    axes.set_xlabel("probes per second and upstream")
    axes.set_ylabel("p99 of lookups in ms")
    axes.set_ylim(bottom=0.0)
    axes.set_title(title)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def plot_worth(comparison, path, *, title):
    """Write the worth of requests over time, one line for each policy.

    :param comparison: result of :func:`monsoonline.bench.load_report.compare_policies`
    :param path: file to write, ``.svg`` or ``.png``
    """
    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    for name, summaries in comparison["policies"].items():
        times = sorted({time for s in summaries for time in s["windows"]})
        means = []
        for time in times:
            values = [s["windows"][time] for s in summaries if time in s["windows"]]
            means.append(sum(values) / len(values))
        axes.plot([time / 1e3 for time in times], means, label=name)
    axes.set_xlabel("first try, s after the start")
    axes.set_ylabel("worth got, share; mean of the seeds")
    axes.set_ylim(0.0, 1.02)
    axes.set_title(title)
    axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
