#!/usr/bin/env python3
"""Counts events across a fleet. Reads only the logs of the gateways, one file for each gateway.

    python3 deploy/fleet-counts.py FOLDER [--window SECONDS]

The gateways log the end of an ordinary attempt at DEBUG, which is off in production (docs/log-events.md). Pass
-Dorg.slf4j.simpleLogger.log.dunlinladder.core=debug to the JVM to turn it on, for example in JAVA_TOOL_OPTIONS. Each
line starts with a time in seconds, which the host adds and which refers to one clock for all files. Lines without a
time are ignored, except failed discovery calls.

First table, by second: the successful attempts as count/median seconds, by stage (prefill or decode) and by warm or
cold engine; then the failed attempts; then the final rejections and failures, with the outcomes of their attempts.
Second table, by engine: when the engine was started, and the attempts that began in each window as count/median
seconds, with "!n" if n of them failed.
Third table, by gateway: the updates of the engine list, and the failed calls for such updates.
"""
import argparse
import collections
import pathlib
import re
import statistics

EVENT_LINE = re.compile(r"([\d.]+) .*?event=(\w+) (.*)")
FIELD = re.compile(r"(\w+)=(\[[^]]*\]|\S+)")
OUTCOME_IN_HISTORY = re.compile(r"([A-Z_]+)(?:;|])")
SUCCESS_OUTCOMES = ("PREFILLED", "OK")
FINAL_ANSWERS = ("request_rejected", "request_failed")
AGE_STARTED_LONG_AGO = "-"
MAX_COLD_AGE_SECONDS = 14
MAX_FAILURES_SHOWN = 6
MAX_FINAL_ANSWERS_SHOWN = 4


def events(folder):
    """Yields (gateway, time in seconds, event name, fields) for each line with an event."""
    for path in sorted(pathlib.Path(folder).glob("*.log")):
        for line in path.open(errors="replace"):
            match = EVENT_LINE.match(line)
            if match:
                yield path.stem, float(match[1]), match[2], dict(FIELD.findall(match[3]))
            elif "event=discovery_call_failed " in line:
                # A failed call is counted even if its line starts without a time.
                yield path.stem, 0.0, "discovery_call_failed", {}


class Counts:
    """Counts of the events of all gateways."""

    def __init__(self, window_seconds):
        self.window_seconds = window_seconds
        self.successes_by_second = collections.defaultdict(lambda: collections.defaultdict(list))
        self.failures_by_second = collections.defaultdict(collections.Counter)
        self.final_answers_by_second = collections.defaultdict(collections.Counter)
        self.attempts_by_engine = collections.defaultdict(lambda: collections.defaultdict(list))
        self.started_by_engine = {}
        self.updates_by_gateway = collections.defaultdict(list)
        self.failed_calls_by_gateway = collections.Counter()

    def add(self, gateway, time, event, fields):
        if event == "attempt_ended" and "seconds" in fields:
            self.add_attempt(time, fields)
        elif event in FINAL_ANSWERS:
            self.add_final_answer(time, event, fields)
        elif event == "endpoints_updated":
            self.updates_by_gateway[gateway].append((time, fields.get("version")))
        elif event == "discovery_call_failed":
            self.failed_calls_by_gateway[gateway] += 1

    def add_attempt(self, end_time, fields):
        seconds = float(fields["seconds"])
        succeeded = fields["outcome"] in SUCCESS_OUTCOMES
        age_known = fields["engine_age"] != AGE_STARTED_LONG_AGO
        cold = age_known and int(fields["engine_age"]) <= MAX_COLD_AGE_SECONDS
        prefill = fields["prefill_only"] == "true"
        stage = ("prefill" if prefill else "decode") + (" cold" if cold else " warm")
        if succeeded:
            self.successes_by_second[int(end_time)][stage].append(seconds)
        else:
            self.failures_by_second[int(end_time)][f"{stage} {fields['outcome']}"] += 1
        if age_known:
            self.started_by_engine.setdefault(fields["engine"], end_time - int(fields["engine_age"]))
        window = int((end_time - seconds) / self.window_seconds)
        self.attempts_by_engine[not prefill, fields["engine"]][window].append((seconds, succeeded))

    def add_final_answer(self, time, event, fields):
        answer = event.removeprefix("request_")
        outcomes = ">".join(OUTCOME_IN_HISTORY.findall(fields.get("attempts", ""))) or "nothing"
        self.final_answers_by_second[int(time)][f"{answer} class {fields.get('class')} after {outcomes}"] += 1


def summary(values):
    return f"{len(values)}/{statistics.median_low(values):.2f}"


def most_common(counter, limit):
    return "  ".join(f"{label} {count}" for label, count in counter.most_common(limit))


def print_by_second(counts):
    for second in sorted(
        set(counts.successes_by_second) | set(counts.failures_by_second) | set(counts.final_answers_by_second)
    ):
        stages = sorted(counts.successes_by_second[second].items())
        successes = "  ".join(f"{stage} {summary(seconds)}" for stage, seconds in stages)
        failures = most_common(counts.failures_by_second[second], MAX_FAILURES_SHOWN)
        final_answers = most_common(counts.final_answers_by_second[second], MAX_FINAL_ANSWERS_SHOWN)
        print(f"{second:4d}  {successes} | {failures} | {final_answers}")


def window_summary(attempts):
    if not attempts:
        return "-"
    failures = sum(not succeeded for _, succeeded in attempts)
    return summary([seconds for seconds, _ in attempts]) + (f"!{failures}" if failures else "")


def print_by_engine(counts):
    if not counts.attempts_by_engine:
        return
    started = counts.started_by_engine
    last_window = max(max(windows) for windows in counts.attempts_by_engine.values())
    engines_by_start = sorted(
        counts.attempts_by_engine.items(), key=lambda item: (item[0][0], started.get(item[0][1], 0)))
    for (is_decode, engine), windows in engines_by_start:
        columns = " ".join(window_summary(windows.get(window)) for window in range(last_window + 1))
        start_text = f"started {started[engine]:.1f}" if engine in started else "long ago"
        print("decode " if is_decode else "prefill", engine, f"{start_text:13s}", columns)


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
