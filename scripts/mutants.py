#!/usr/bin/env python3
"""Breaks one mechanism at a time in a copy of the sources and expects its proof to fail.

Usage: scripts/mutants.py [NAME ...]. Reads scripts/mutants.toml; prints one line a mutant
and ends with 1 when one survives.
"""
import os
import pathlib
import shutil
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
COPY = ROOT / "target" / "mutants" / "source"
LIMIT_S = 300


def copy_sources():
    files = subprocess.run(["git", "ls-files", "-co", "--exclude-standard"], cwd=ROOT,
                           capture_output=True, text=True, check=True).stdout.splitlines()
    for name in files:
        target = COPY / name
        data = (ROOT / name).read_bytes()
        if target.exists() and target.read_bytes() == data:
            continue
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_bytes(data)
        shutil.copymode(ROOT / name, target)


def run_test(args):
    env = dict(os.environ, CARGO_TARGET_DIR=str(ROOT / "target" / "mutants" / "build"))
    build = ["cargo", "build", "--quiet", "--features", "failpoints", "--bins", "--examples"]
    needs_binary = any(name in args for name in ("matrix", "cluster", "guarantees"))
    if needs_binary and subprocess.run(build, cwd=COPY, env=env).returncode != 0:
        return None
    command = ["cargo", "test", "--quiet", "--features", "failpoints", *args.split()]
    try:
        done = subprocess.run(command, cwd=COPY, env=env, capture_output=True, text=True,
                              timeout=LIMIT_S)
    except subprocess.TimeoutExpired:
        return "hung"
    if "could not compile" in done.stderr:
        print(done.stderr[-2000:])
        return None
    return "passed" if done.returncode == 0 else "failed"


def main():
    mutants = tomllib.loads((ROOT / "scripts" / "mutants.toml").read_text())["mutant"]
    wanted = sys.argv[1:]
    killed = survived = 0
    for mutant in mutants:
        if wanted and mutant["name"] not in wanted:
            continue
        copy_sources()
        edits = [mutant, *mutant.get("also", [])]
        sources = {}
        stale = False
        for edit in edits:
            path = COPY / edit["file"]
            source = path.read_text()
            sources.setdefault(path, source)
            stale |= source.count(edit["old"]) != 1
            path.write_text(source.replace(edit["old"], edit["new"]))
        verdict = "stale" if stale else run_test(mutant["test"])
        for path, source in sources.items():
            path.write_text(source)
        good = verdict in ("failed", "hung")
        killed, survived = killed + good, survived + (not good)
        print(f"{mutant['name']}: {'killed' if good else 'SURVIVED'} ({verdict})", flush=True)
    print(f"{killed} killed, {survived} survived")
    return 1 if survived else 0


if __name__ == "__main__":
    sys.exit(main())
