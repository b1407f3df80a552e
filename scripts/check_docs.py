#!/usr/bin/env python3
"""Checks that the code and the documents name the same settings, object fields, error kinds, metrics, commands and log events."""
import pathlib
import re
import sys

ROOT = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else ".")


def read(path):
    return (ROOT / path).read_text()


def section(text, heading):
    """Returns the text between a level-two heading and the next one; empty if there is no such heading."""
    match = re.search(rf"^## {re.escape(heading)}$(.*?)(?=^## |\Z)", text, re.M | re.S)
    return match[1] if match else ""


def first_cells(text):
    """Returns the names in backticks at the start of all table rows."""
    return set(re.findall(r"^\| `([^`]+)`", text, re.M))


def compare(what, code, documents):
    faults = [f"{what} {name}: in the code, not in the documents" for name in sorted(code - documents)]
    faults += [f"{what} {name}: in the documents, not in the code" for name in sorted(documents - code)]
    return faults


def main():
    operations = read("docs/OPERATIONS.md")
    settings = set(re.findall(r'^\s*\{"(\w+)",\s*"(?:text|whole number|flag|list of texts)"', read("packages/protocol/settingsjson.cpp"), re.M))
    fields = {f"{kind}.{field}" for kind, field in re.findall(r'\{"(\w+)",\s*"(\w+)",\s*(?:Boolean|Integer|Number|Text|TextList)', read("packages/coordination/objectschema.cpp"))}
    kinds = set(re.findall(r'\{ErrorKind::\w+,\s*"(\w+)"', read("packages/state/errorkind.cpp")))
    metrics = set(re.findall(r'"(apricotladder_\w+)"', read("packages/apricotladderd/nodemetrics.cpp")))
    commands = set(re.findall(r'\{"(\w+)",\s*"[^"]*",\s*"[A-Z]', read("packages/apricotladder/main.cpp")))
    faults = compare("setting", settings, first_cells(section(operations, "Settings")))
    faults += compare("field", fields, first_cells(section(operations, "Objects")))
    faults += compare("error kind", kinds, first_cells(section(read("docs/CALLERS.md"), "Errors")))
    faults += compare("metric", metrics, first_cells(section(operations, "Metrics")))
    faults += compare("command", commands, first_cells(section(operations, "Commands")))
    entry = section(operations, "Entry nodes on a platform")
    entry_settings = set(re.findall(r'^\s*\{"(\w+)",\s*"(?:text|whole number|number|flag|list of texts)"', read("packages/protocol/entrysettingsjson.cpp"), re.M))
    entry_metrics = set(re.findall(r'"(apricotladder_entry_\w+)"', read("packages/apricotladderd/entry/entrymetrics.cpp")))
    sources = "\n".join(path.read_text() for path in sorted((ROOT / "packages/apricotladderd/entry").rglob("*.cpp")))
    events = set(re.findall(r'"((?:call|store|desired|engine|engines|node|nodes|peer|quarantine)\.[a-z]+|start|stop|stopped|reload|engine|member)"', sources))
    events |= set(re.findall(r'\\"event\\":\\"([a-z.]+)\\"', sources))
    faults += compare("entry setting, metric or event", entry_settings | entry_metrics | events, first_cells(entry))
    for name, found in (("entry settings", entry_settings), ("entry metrics", entry_metrics), ("log events", events), ("settings", settings), ("fields", fields), ("error kinds", kinds), ("metrics", metrics), ("commands", commands)):
        if not found:
            faults.append(f"no {name} found in the code; update the pattern in scripts/check_docs.py")
    print("\n".join(faults) if faults else f"documents: {len(settings)} settings, {len(fields)} fields, {len(kinds)} error kinds, {len(metrics)} metrics, {len(commands)} commands, {len(entry_settings)} entry settings, {len(entry_metrics)} entry metrics, {len(events)} log events agree")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
