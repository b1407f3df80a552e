#!/usr/bin/env python3
"""Runs policy_bench with several seeds and prints the median and worst value of each figure as a Markdown table.

usage: scripts/policy_table.py [--seeds N] [--jobs N] [--deployment D] SCENARIO:LOAD:POLICY...
"""
import argparse
import json
import statistics
import subprocess
from concurrent.futures import ThreadPoolExecutor

FIGURES = ["goodputShare", "urgentGoodputShare", "otherRankShare", "wastedPrefillShare", "refusedEarlyShare", "ttftP95Ms",
           "tokenGapP95Ms", "peakMemoryShare", "goodputOfBound", "admittedGoodShare"]
# Figures whose worst value is the highest one.
HIGH_IS_BAD = {"wastedPrefillShare", "refusedEarlyShare", "ttftP95Ms", "tokenGapP95Ms", "peakMemoryShare"}


def run(job):
    (scenario, load, policy), seed, deployment = job
    command = ["build/bin/policy_bench", "--scenario", scenario, "--load", load, "--policy", policy, "--seed", str(seed),
               "--deployment", deployment]
    return json.loads(subprocess.run(command, check=True, capture_output=True, text=True).stdout)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("cases", nargs="+")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=5)
    parser.add_argument("--deployment", default="tablones")
    arguments = parser.parse_args()
    print("| scenario | load | policy | " + " | ".join(FIGURES) + " |")
    print("|" + "---|" * (len(FIGURES) + 3))
    with ThreadPoolExecutor(arguments.jobs) as pool:
        for case in arguments.cases:
            parts = case.split(":")
            jobs = [(parts, seed, arguments.deployment) for seed in range(1, arguments.seeds + 1)]
            lines = list(pool.map(run, jobs))
            cells = []
            for figure in FIGURES:
                values = [line[figure] for line in lines]
                worst = max(values) if figure in HIGH_IS_BAD else min(values)
                cells.append(f"{statistics.median(values):.4g} ({worst:.4g})")
            print(f"| {' | '.join(parts)} | " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()
