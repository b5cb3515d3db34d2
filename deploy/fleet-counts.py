#!/usr/bin/env python3
"""Counts across a fleet from the logs of its gateways, one file each; reads nothing else.

    python3 deploy/fleet-counts.py FOLDER [--window SECONDS]

The gateways log what is counted here at debug, off in service (docs/log-events.md): give the JVM
-Dorg.slf4j.simpleLogger.log.dunlinladder.core=debug (JAVA_TOOL_OPTIONS will do). Lines start with seconds, as the
host stamps them, on a clock that the files share; others are left out.

First table, by second: attempts that ended well by stage (prefill or decode) and by warm and cold engine, count/median
seconds, then attempts that ended badly, then final rejections and failures with the endings that went before.
Second table, by engine: attempts begun in each window, count/median seconds, "!n" of them ended badly; the age
tells when a cold one was started. Third: updates of the engine list, and calls for them that failed, by gateway.
"""
import argparse
import collections
import pathlib
import re
import statistics

EVENT_LINE = re.compile(r"([\d.]+) .*?event=(\w+) (.*)")
FIELD = re.compile(r"(\w+)=(\[[^]]*\]|\S+)")
ENDING_IN_HISTORY = re.compile(r"([A-Z_]+)(?:;|])")
GOOD_ENDINGS = ("PREFILLED", "OK")
FINAL_ANSWERS = ("request_rejected", "request_failed")
STARTED_LONG_AGO = "-"
COLD_SECONDS = 14
MAX_BAD_ENDINGS_SHOWN = 6
MAX_FINAL_ANSWERS_SHOWN = 4


def events(folder):
    """Yields (gateway, seconds, event name, fields) of every line that is counted."""
    for path in sorted(pathlib.Path(folder).glob("*.log")):
        for line in path.open(errors="replace"):
            match = EVENT_LINE.match(line)
            if match:
                yield path.stem, float(match[1]), match[2], dict(FIELD.findall(match[3]))
            elif "event=discovery_call_failed " in line:
                # Counted without its time.
                yield path.stem, 0.0, "discovery_call_failed", {}


class Counts:
    """What the events of all gateways add up to."""

    def __init__(self, window_seconds):
        self.window_seconds = window_seconds
        self.good_by_second = collections.defaultdict(lambda: collections.defaultdict(list))
        self.bad_by_second = collections.defaultdict(collections.Counter)
        self.final_by_second = collections.defaultdict(collections.Counter)
        self.attempts_by_engine = collections.defaultdict(lambda: collections.defaultdict(list))
        self.started_by_engine = {}
        self.updates_by_gateway = collections.defaultdict(list)
        self.failed_calls_by_gateway = collections.Counter()

    def add(self, gateway, at, event, fields):
        if event == "attempt_ended" and "seconds" in fields:
            self.add_attempt(at, fields)
        elif event in FINAL_ANSWERS:
            self.add_final_answer(at, event, fields)
        elif event == "endpoints_updated":
            self.updates_by_gateway[gateway].append((at, fields.get("version")))
        elif event == "discovery_call_failed":
            self.failed_calls_by_gateway[gateway] += 1

    def add_attempt(self, at, fields):
        seconds = float(fields["seconds"])
        good = fields["outcome"] in GOOD_ENDINGS
        age_known = fields["engine_age"] != STARTED_LONG_AGO
        cold = age_known and int(fields["engine_age"]) <= COLD_SECONDS
        prefill = fields["prefill_only"] == "true"
        stage = ("prefill" if prefill else "decode") + (" cold" if cold else " warm")
        if good:
            self.good_by_second[int(at)][stage].append(seconds)
        else:
            self.bad_by_second[int(at)][f"{stage} {fields['outcome']}"] += 1
        if age_known:
            self.started_by_engine.setdefault(fields["engine"], at - int(fields["engine_age"]))
        window = int((at - seconds) / self.window_seconds)
        self.attempts_by_engine[not prefill, fields["engine"]][window].append((seconds, good))

    def add_final_answer(self, at, event, fields):
        answer = event.removeprefix("request_")
        endings = ">".join(ENDING_IN_HISTORY.findall(fields.get("attempts", ""))) or "nothing"
        self.final_by_second[int(at)][f"{answer} class {fields.get('class')} after {endings}"] += 1


def summary(values):
    return f"{len(values)}/{statistics.median_low(values):.2f}"


def most_common(counter, limit):
    return "  ".join(f"{what} {count}" for what, count in counter.most_common(limit))


def print_by_second(counts):
    for second in sorted(set(counts.good_by_second) | set(counts.bad_by_second) | set(counts.final_by_second)):
        stages = sorted(counts.good_by_second[second].items())
        good = "  ".join(f"{stage} {summary(seconds)}" for stage, seconds in stages)
        bad = most_common(counts.bad_by_second[second], MAX_BAD_ENDINGS_SHOWN)
        final = most_common(counts.final_by_second[second], MAX_FINAL_ANSWERS_SHOWN)
        print(f"{second:4d}  {good} | {bad} | {final}")


def window_summary(attempts):
    if not attempts:
        return "-"
    bad = sum(not good for _, good in attempts)
    return summary([seconds for seconds, _ in attempts]) + (f"!{bad}" if bad else "")


def print_by_engine(counts):
    if not counts.attempts_by_engine:
        return
    started = counts.started_by_engine
    last = max(max(windows) for windows in counts.attempts_by_engine.values())
    by_start = sorted(counts.attempts_by_engine.items(), key=lambda item: (item[0][0], started.get(item[0][1], 0)))
    for (decodes, engine), windows in by_start:
        columns = " ".join(window_summary(windows.get(window)) for window in range(last + 1))
        age = f"started {started[engine]:.1f}" if engine in started else "long ago"
        print("decode " if decodes else "prefill", engine, f"{age:13s}", columns)


def print_by_gateway(counts):
    for gateway in sorted(set(counts.updates_by_gateway) | set(counts.failed_calls_by_gateway)):
        updates = counts.updates_by_gateway[gateway]
        print(f"{gateway}: {len(updates)} updates of the list, last at {updates[-1][0] if updates else '-'}, "
              f"{counts.failed_calls_by_gateway[gateway]} calls failed")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("folder")
    parser.add_argument("--window", type=float, default=3.0)
    options = parser.parse_args()
    counts = Counts(options.window)
    for event in events(options.folder):
        counts.add(*event)
    print_by_second(counts)
    print()
    print_by_engine(counts)
    print_by_gateway(counts)


if __name__ == "__main__":
    main()
