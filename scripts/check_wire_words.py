#!/usr/bin/env python3
"""Checks that names of the platform's wire format occur in platform/, but not in packages/. Tests are not checked."""
import pathlib
import re
import sys

ROOT = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else ".")
LITERAL = re.compile(r'"([^"\\\n]*)"')
# Names of the platform: its headers and variables, and fields or paths of several words.
WIRE_WORD = re.compile(r"^/?(Apricotladder-[A-Za-z-]+|APRICOTLADDER_\w+|[a-z]+(-[a-z]+)+/?|readyz|discovery|draining)$")
# Names that HTTP or the project's own interface shares with the platform.
SHARED = {"text/plain", "/readyz", "readyz", "draining"}


def literals(path):
    text = "\n".join(line for line in path.read_text().splitlines() if not line.lstrip().startswith("#include"))
    return set(LITERAL.findall(text))


def sources(folder):
    return [path for path in sorted((ROOT / folder).rglob("*")) if path.suffix in {".h", ".cpp"} and "tests" not in path.parts]


def main():
    words = {word for path in sources("platform") for word in literals(path) if WIRE_WORD.match(word)} - SHARED
    faults = []
    for path in sources("packages"):
        for word in sorted(literals(path) & words):
            faults.append(f'{path}: "{word}" is a name of the platform\'s wire format; translate it in platform/')
    if not words:
        faults.append("no names found in platform/; update the pattern in scripts/check_wire_words.py")
    print("\n".join(faults) if faults else f"wire words: {len(words)} names occur only in platform/")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
