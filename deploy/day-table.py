#!/usr/bin/env python3
"""Prints the days of journal entries as a Markdown table: python3 deploy/day-table.py journal/ENTRY.json ...

Each row shows the broken rules or the fault of a day, the share of the worth that was served and the share that the
gate requires, the same two shares for the service class, the tenant and the prompt size with the smallest margin, the
memory used and its limit, and the score.
"""
import json
import pathlib
import sys


def nearest(rows):
    """Returns the text for the row with the smallest difference of served and required share; "-" without rows."""
    rows = [row for row in rows or [] if len(row) >= 3 and row[2]]
    if not rows:
        return "-"
    name, served, required = min(rows, key=lambda row: row[1] - row[2])[:3]
    return f"{name} {served:.2f} of {required:.2f}"


def table_row(day):
    broken_rules = ", ".join(f"{rule} {count}" for rule, count in (day.get("rules") or {}).items() if count)
    state = day.get("fault") or broken_rules or "kept"
    return (f"| {day['name']}, {day['seed']} | {state} | {day['served']:.3f} of {day['served_least']:.3f} | "
            f"{nearest(day.get('by_class'))} | {nearest(day.get('by_tenant'))} | {nearest(day.get('by_size'))} | "
            f"{day['memory_mb']} of {day['caps'][0]} | {day['score']:.2f} |")


def main():
    print("| day, seed | rules | served, gate | class | tenant | longest prompts | MB | score |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for path in sys.argv[1:]:
        for day in json.loads(pathlib.Path(path).read_text())["days"]:
            print(table_row(day))


main()
