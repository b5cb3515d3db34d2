#!/usr/bin/env python3
"""Prints the days of journal entries as a table of Markdown: python3 deploy/day-table.py journal/ENTRY.json ...

For each day: rules broken or fault, share of the worth served against what the gate asks, the same for the class,
the tenant and the size of prompts that are nearest to their bound, memory against its limit, and the score.
"""
import json
import pathlib
import sys


def nearest(rows):
    rows = [row for row in rows or [] if len(row) >= 3 and row[2]]
    if not rows:
        return "-"
    name, served, least = min(rows, key=lambda row: row[1] - row[2])[:3]
    return f"{name} {served:.2f} of {least:.2f}"


def line(day):
    broken = ", ".join(f"{rule} {count}" for rule, count in (day.get("rules") or {}).items() if count)
    state = day.get("fault") or broken or "kept"
    return (f"| {day['name']}, {day['seed']} | {state} | {day['served']:.3f} of {day['served_least']:.3f} | "
            f"{nearest(day.get('by_class'))} | {nearest(day.get('by_tenant'))} | {nearest(day.get('by_size'))} | "
            f"{day['memory_mb']} of {day['caps'][0]} | {day['score']:.2f} |")


def main():
    print("| day, seed | rules | served, gate | class | tenant | longest prompts | MB | score |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for path in sys.argv[1:]:
        for day in json.loads(pathlib.Path(path).read_text())["days"]:
            print(line(day))


main()
