"""Plots of trials."""

import numpy


def _make_figure(count):
    # Imported here because runs without --plot do not need matplotlib.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    return pyplot.subplots(1, count, figsize=(5 * count, 3.5))


def plot_trials(results, path):
    """Plot the share of worth by second, and its distribution over trials.

    Args:
        results: lists of trials.Result by name of the variant.
        path: of the image file to write.
    """
    figure, (over_time, in_sum) = _make_figure(2)
    for name, found in results.items():
        lines = numpy.array([one.seconds for one in found])
        over_time.plot(lines.mean(axis=0), label=name)
    over_time.set_xlabel("second")
    over_time.set_ylabel("share of worth")
    over_time.legend(fontsize=7)
    worths = [[one.worth for one in found] for found in results.values()]
    in_sum.boxplot(worths)
    in_sum.set_xticklabels(list(results), rotation=30, fontsize=7)
    in_sum.set_ylabel("share of worth")
    figure.tight_layout()
    figure.savefig(path)
