#!/usr/bin/env python3
"""Draws the JSON of measure-placement as SVG bar charts, one file per chart.

Usage: measure-placement --json | plot.py [DIRECTORY]
"""
import json
import math
import pathlib
import sys
from xml.sax.saxutils import escape

COLOURS = ["#1b6ca8", "#5fa8d3", "#2a9d8f", "#8ab17d", "#e9c46a", "#f4a261",
           "#e76f51", "#9b2226", "#6d597a", "#b56576", "#7f7f7f",
           "#222222"]
LEFT, TOP, HEIGHT, GROUP_WIDTH = 70, 50, 260, 250

# Of each chart: file name, title, scenario, labels that select the rows, label
# that groups the bars, value, goal that is drawn as a line (or None), and scale
# (lowest value, whether it is logarithmic).
CHARTS = [
    ("placement-connections", "Connections, 15 upstreams: maximum over mean "
     "by feeds per upstream", "connections", {"deployment": "15x2"}, "feeds",
     "max_over_mean", 1.1, (1, False)),
    ("placement-crest", "15 upstreams of 2 slots, deadline 0.3 s: part of the "
     "capacity answered in time by offered load", "crest",
     {"deployment": "15x2", "deadline": "0.3s"}, "load", "goodput", 0.95,
     (0.5, False)),
    ("placement-stragglers", "15 upstreams of 2 slots, 80% load: p99 wait of "
     "short work in seconds by part of stragglers", "stragglers",
     {"deployment": "15x2"}, "stragglers", "wait_p99", None, (0.01, True)),
]


def make_scale(lowest, highest, logarithmic):
    """Returns functions from a value to its share of the height, and back."""
    if not logarithmic:
        span = highest - lowest
        return (lambda value: (value - lowest) / span,
                lambda part: lowest + part * span)
    span = math.log(highest / lowest)
    return (lambda value: math.log(max(value, lowest) / lowest) / span,
            lambda part: lowest * math.exp(part * span))


def select(rows, fixed):
    """Returns the rows whose labels have the given values."""
    return [row for row in rows
            if all(row[name] == value for name, value in fixed.items())]


def text(x, y, content, extra=""):
    """Returns an SVG text element; extra holds further attributes."""
    return f'<text x="{x:.0f}" y="{y:.0f}" {extra}>{escape(content)}</text>'


def draw_axis(value_at, width):
    """Returns five horizontal grid lines with their values."""
    parts = []
    for step in range(5):
        y = TOP + HEIGHT * (1 - step / 4)
        parts.append(f'<line x1="{LEFT}" x2="{width}" y1="{y:.1f}" '
                     f'y2="{y:.1f}" stroke="#dddddd"/>')
        parts.append(text(LEFT - 6, y + 4, f"{value_at(step / 4):.2f}",
                          'text-anchor="end"'))
    return parts


def draw_groups(rows, groups, layouts, group_label, value, part_of):
    """Returns one group of bars per value of the group label."""
    parts = []
    bar = GROUP_WIDTH * 0.85 / len(layouts)
    for number, group in enumerate(groups):
        left = LEFT + number * GROUP_WIDTH + GROUP_WIDTH * 0.05
        for row in (row for row in rows if row[group_label] == group):
            index = layouts.index(row["layout"])
            height = max(part_of(row[value]), 0) * HEIGHT
            title = escape(f'{row["layout"]}, {group}: {row[value]:.3f}')
            parts.append(
                f'<rect x="{left + index * bar:.1f}" width="{bar - 1:.1f}" '
                f'y="{TOP + HEIGHT - height:.1f}" height="{height:.1f}" '
                f'fill="{COLOURS[index % len(COLOURS)]}">'
                f"<title>{title}</title></rect>")
        parts.append(text(left + GROUP_WIDTH * 0.42, TOP + HEIGHT + 18, group,
                          'text-anchor="middle"'))
    return parts


def draw_legend(layouts, width):
    """Returns the colours and names of the layouts, right of the chart."""
    parts = []
    for index, layout in enumerate(layouts):
        y = TOP + index * 20
        parts.append(f'<rect x="{width + 15}" y="{y}" width="12" height="12" '
                     f'fill="{COLOURS[index % len(COLOURS)]}"/>')
        parts.append(text(width + 32, y + 11, layout))
    return parts


def draw(title, rows, group_label, value, reference, scale):
    """Returns a chart as an SVG document."""
    layouts = list(dict.fromkeys(row["layout"] for row in rows))
    groups = list(dict.fromkeys(row[group_label] for row in rows))
    lowest, logarithmic = scale
    highest = max(max(row[value] for row in rows), reference or 0) * 1.05
    part_of, value_at = make_scale(lowest, highest, logarithmic)
    width = LEFT + GROUP_WIDTH * len(groups)
    parts = [text(LEFT, 25, title, 'font-size="15"')]
    parts += draw_axis(value_at, width)
    parts += draw_groups(rows, groups, layouts, group_label, value,
                         part_of)
    if reference is not None:
        y = TOP + HEIGHT * (1 - part_of(reference))
        parts.append(f'<line x1="{LEFT}" x2="{width}" y1="{y:.1f}" '
                     f'y2="{y:.1f}" stroke="#000000" '
                     'stroke-dasharray="6 4"/>')
        parts.append(text(width - 4, y - 4, f"goal {reference}",
                          'text-anchor="end"'))
    parts += draw_legend(layouts, width)
    return (f'<svg xmlns="http://www.w3.org/2000/svg" width="{width + 190}" '
            f'height="{TOP + HEIGHT + 35}" font-family="sans-serif" '
            'font-size="12">\n<rect width="100%" height="100%" '
            'fill="#ffffff"/>\n' + "\n".join(parts) + "\n</svg>\n")


def main():
    """Writes all charts to the directory, by default docs."""
    directory = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "docs")
    document = json.load(sys.stdin)
    for name, title, scenario, fixed, group_label, value, reference, \
            scale in CHARTS:
        rows = select(document[scenario], fixed)
        svg = draw(f'{title} (seed {document["seed"]})', rows, group_label,
                   value, reference, scale)
        (directory / f"{name}.svg").write_text(svg, encoding="utf-8")


if __name__ == "__main__":
    main()
