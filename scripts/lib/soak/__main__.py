"""Runs the given seeds in sequence: python3 -m soak --binary build/limpetd-platform --seeds 1,2,3."""

import argparse
import asyncio
import fcntl
import os
import random
import shutil
import sys
import time

from soak.deployment import Deployment
from soak.faults import select_faults


async def run_seed(arguments, seed):
    random.seed(seed)
    # Server tasks that are still running at the end are cancelled, which would log exceptions. Errors in faults and
    # checks are not affected: they propagate to the caller.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    folder = os.path.join(arguments.out, f"seed-{seed}")
    os.makedirs(folder, exist_ok=True)
    # A second soak in the same folder would overwrite the settings of this one.
    lock = open(os.path.join(folder, "lock"), "w", encoding="utf-8")
    fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    for name in os.listdir(folder):
        if name != "lock":
            os.remove(os.path.join(folder, name))
    # Copied, so that a build during the run does not replace the program.
    binary = shutil.copy(arguments.binary, os.path.join(os.path.abspath(folder), "limpetd"))
    deployment = Deployment(
        binary, folder, arguments.nodes, arguments.slots, arguments.rate, select_faults(arguments.faults)
    )
    try:
        await deployment.start()
        await deployment.inject_faults(arguments.seconds)
        await deployment.check_recovery()
    finally:
        await deployment.stop()
        lock.close()
    return deployment.checker


def parse_seeds(text):
    """Accepts "7", "1,2" and "1-50"; "fresh:N" gives N new seeds, derived from the time."""
    if text.startswith("fresh:"):
        first = int(time.time()) % 1_000_000 * 100
        return [first + i for i in range(int(text[len("fresh:") :]))]
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def regression_options():
    """Returns the options of each run in regressions.txt, without the cause behind "#"."""
    path = os.path.join(os.path.dirname(__file__), "regressions.txt")
    with open(path, encoding="utf-8") as lines:
        options = [line.partition("#")[0].split() for line in lines]
    return [words for words in options if words]


def make_parser():
    parser = argparse.ArgumentParser(prog="scripts/soak", description=__doc__)
    parser.add_argument("--binary", required=True, help="the node program")
    parser.add_argument("--seeds", default="1", help='"7", "1,2", "1-50" or "fresh:N"')
    parser.add_argument("--seconds", type=float, default=12.0, help="how long faults are injected")
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--rate", type=float, default=6.0, help="requests of each caller per second")
    parser.add_argument("--slots", type=int, default=4, help="slots of each target")
    parser.add_argument("--faults", default="", help="names of the faults to inject, separated by commas; default: all")
    parser.add_argument("--regressions", action="store_true", help="make the runs of regressions.txt")
    parser.add_argument("--out", default="out/soak", help="folder for settings and logs")
    return parser


def run_seeds(arguments):
    """Returns the seeds that failed."""
    failed = []
    for seed in parse_seeds(arguments.seeds):
        checker = asyncio.run(run_seed(arguments, seed))
        verdict = "failed" if checker.violations else "passed"
        print(f"seed {seed} {verdict}: {len(checker.sent_requests)} requests, {dict(checker.outcomes)}", flush=True)
        for violation in checker.violations[:20]:
            print("  " + violation, flush=True)
        if checker.violations:
            failed.append(seed)
    return failed


def main():
    parser = make_parser()
    runs = [parser.parse_args()]
    if runs[0].regressions:
        common = ["--binary", runs[0].binary, "--out", runs[0].out]
        runs = [parser.parse_args(common + options) for options in regression_options()]
    failed = [seed for arguments in runs for seed in run_seeds(arguments)]
    if failed:
        print(f"failed seeds: {failed}; logs in {runs[0].out}")
        sys.exit(1)


if __name__ == "__main__":
    main()
