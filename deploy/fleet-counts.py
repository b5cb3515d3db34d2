#!/usr/bin/env python3
"""Counts across a fleet from the logs of its gateways, one file each; reads nothing else.

    python3 deploy/fleet-counts.py FOLDER [--window SECONDS]

The gateways log what is counted here at debug, off in service: give the JVM
-Dorg.slf4j.simpleLogger.log.dunlinladder.core=debug (JAVA_TOOL_OPTIONS will do). Lines start with seconds, as the
host stamps them, on a clock that the files share; others are left out.

First table, by second: answers by stage (read or write) and by warm and cold engine, count/median seconds, then
attempts that ended badly, then final refusals and failures with the endings that went before.
Second table, by engine: attempts begun in each window, count/median seconds, "!n" of them ended badly; the age
tells when a cold one was born. Third: news of the list, and calls for it that failed, by gateway.
"""
import argparse
import collections
import pathlib
import re
import statistics

LINE = re.compile(r"([\d.]+) .*?event=(\w+) (.*)")
FIELD = re.compile(r"(\w+)=(\[[^]]*\]|\S+)")
WELL = ("PREFILLED", "OK")
COLD_SECONDS = 14


def events(folder):
    for path in sorted(pathlib.Path(folder).glob("*.log")):
        for line in path.open(errors="replace"):
            found = LINE.match(line)
            if found:
                yield path.stem, float(found[1]), found[2], dict(FIELD.findall(found[3]))
            elif "discovery at" in line and " WARN " in line:
                yield path.stem, 0.0, "call_failed", {}


def summary(values):
    return f"{len(values)}/{statistics.median_low(values):.2f}"


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("folder")
    parser.add_argument("--window", type=float, default=3.0)
    options = parser.parse_args()
    answers = collections.defaultdict(lambda: collections.defaultdict(list))
    endings = collections.defaultdict(collections.Counter)
    finals = collections.defaultdict(collections.Counter)
    engines = collections.defaultdict(lambda: collections.defaultdict(list))
    born = {}
    lists = collections.defaultdict(list)
    calls = collections.Counter()
    for gateway, at, event, field in events(options.folder):
        second = int(at)
        if event == "attempt" and "seconds" in field:
            took, well = float(field["seconds"]), field["outcome"] in WELL
            cold = field["age"] != "long" and int(field["age"]) <= COLD_SECONDS
            stage = ("read" if field["reads"] == "true" else "write") + (" cold" if cold else " warm")
            if well:
                answers[second][stage].append(took)
            else:
                endings[second][f"{stage} {field['outcome']}"] += 1
            if field["age"] != "long":
                born.setdefault(field["engine"], at - int(field["age"]))
            key = field["reads"] != "true", field["engine"]
            engines[key][int((at - took) / options.window)].append((took, well))
        elif event in ("refused", "failed"):
            trail = re.findall(r"([A-Z_]+)(?:;|])", field.get("attempts", ""))
            finals[second][f"{event} class {field.get('class')} after {'>'.join(trail) or 'nothing'}"] += 1
        elif event == "endpoints_updated":
            lists[gateway].append((at, field.get("version")))
        elif event == "call_failed":
            calls[gateway] += 1
    for second in sorted(set(answers) | set(endings) | set(finals)):
        good = "  ".join(f"{stage} {summary(took)}" for stage, took in sorted(answers[second].items()))
        bad = "  ".join(f"{what} {count}" for what, count in endings[second].most_common(6))
        last = "  ".join(f"{what} {count}" for what, count in finals[second].most_common(4))
        print(f"{second:4d}  {good} | {bad} | {last}")
    print()
    if engines:
        last = max(max(windows) for windows in engines.values())
        for (writes, engine), windows in sorted(engines.items(), key=lambda e: (e[0][0], born.get(e[0][1], 0))):
            cells = []
            for window in range(last + 1):
                seen = windows.get(window)
                bad = sum(not well for _, well in seen or [])
                cells.append((summary([took for took, _ in seen]) + (f"!{bad}" if bad else "")) if seen else "-")
            age = f"born {born[engine]:.1f}" if engine in born else "old"
            print("writes" if writes else "reads ", engine, f"{age:10s}", " ".join(cells))
    for gateway in sorted(set(lists) | set(calls)):
        news = lists[gateway]
        print(f"{gateway}: {len(news)} pieces of news, last at {news[-1][0] if news else '-'}, "
              f"{calls[gateway]} calls failed")


if __name__ == "__main__":
    main()
