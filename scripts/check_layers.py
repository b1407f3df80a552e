#!/usr/bin/env python3
"""Checks that the includes of each package follow the layer table, and that the clock-free packages do not read the clock."""
import pathlib
import re
import sys

MAY_INCLUDE = {
    "state": {"state"},
    "coordination": {"coordination", "state"},
    "protocol": {"protocol", "state"},
    "transport": {"transport"},
    "apricotladderd": {"apricotladderd", "coordination", "protocol", "state", "transport"},
    "apricotladder": {"apricotladder", "coordination", "protocol", "state", "transport"},
}
INCLUDE = re.compile(r'^\s*#include\s+["<]([a-z]+)/[^">]+[">]')
# Calls that read the clock. The CLOCK_FREE packages get the current time as an argument instead.
CLOCK = re.compile(r"absl::Now\(|::now\(\)|clock_gettime|gettimeofday")
CLOCK_FREE = {"state", "coordination", "protocol"}
CLOCK_EXCEPTIONS = {"state/mutex.h"}


def faults_of(packages: pathlib.Path) -> list[str]:
    faults = []
    for path in sorted(packages.rglob("*")):
        if path.suffix not in {".h", ".cpp"} or "tests" in path.parts:
            continue
        layer = path.relative_to(packages).parts[0]
        place = str(path.relative_to(packages))
        for number, line in enumerate(path.read_text().splitlines(), 1):
            match = INCLUDE.match(line)
            if match and match[1] in MAY_INCLUDE and match[1] not in MAY_INCLUDE[layer]:
                faults.append(f"{path}:{number}: {layer} may not include {match[1]}; move the included type to a lower layer or this code to a higher one")
            if layer in CLOCK_FREE and place not in CLOCK_EXCEPTIONS and CLOCK.search(line):
                faults.append(f"{path}:{number}: {layer} may not read the clock; pass the current time as an argument")
    return faults


def main() -> int:
    root = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else ".")
    faults = faults_of(root / "packages")
    print("\n".join(faults) if faults else "layers: all includes follow the layer table")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
