#!/usr/bin/env python3
"""Checks that each row of the table of slopes in docs/CAPACITY.md adds up."""
import pathlib
import sys

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
COLUMNS = 10


def main():
    rows = wrong = 0
    for line in PAGE.read_text().splitlines():
        cells = [c.strip() for c in line.strip().strip("|").split("|")]
        if len(cells) != COLUMNS or cells[0] in ("role", "---"):
            continue
        zero, slope, count, at_size, limit = (float(cells[i]) for i in (2, 3, 6, 7, 8))
        rows += 1
        reckoned = zero + slope * count
        adds_up = abs(reckoned - at_size) <= max(0.01, abs(reckoned) * 0.01)
        verdict_fits = (at_size <= limit) == (not cells[9].startswith("fails"))
        if not (adds_up and verdict_fits):
            wrong += 1
            print(f"{cells[0]}, {cells[1]}: {reckoned:.2f} reckoned, {at_size} written, {cells[9]}")
    print(f"{rows} rows, {wrong} wrong")
    return 1 if wrong or not rows else 0


if __name__ == "__main__":
    sys.exit(main())
