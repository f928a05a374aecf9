#!/usr/bin/env python3
"""Lays two variants of deployments beside this script, for the bench to play.

    python3 deploy/sites/lay.py SCHOOLS.toml OTHER.toml

SCHOOLS.toml and OTHER.toml are site files at hand; real.json, wire.json and unlock.txt are taken from beside each. What
is laid is ignored by git: only the changes below are ours. The variants hold what neither deployment has, so that
nothing in the router leans on one of them: other names, every effect, other shares, limits, time limits and costs.
"""
import re
import shutil
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent

# Section, which of them (from 0), key, value as the file writes it. Without a key the value is text that follows the
# section; without either the section is taken out.
WRITES = """
[[class]]
name = "seat-hold"
share = [0.3, 0.5]
work_ms = [10, 30]
attempt_noise = [0.05, 0.15]
aim_ms = 500
deadline_ms = 1500
worth = 2
late_worth = 0
effect = "keyed"
group = "all"
window_ms = 600
write = true

[[class]]
name = "ticket"
share = [0.2, 0.4]
work_ms = [10, 30]
attempt_noise = [0.05, 0.15]
aim_ms = 800
deadline_ms = 3000
worth = 4
late_worth = 0
effect = "unsafe"
write = true
"""
HARBOUR = [
    ("", 0, "name", '"harbour-tickets"'),
    ("", 0, "stock", '"harbour-tickets-1"'),
    ("clients", 0, "retries", "[1, 2.99]"),
    ("clients", 0, "marks_retry", "false"),
    ("allow", 0, "probes", "false"),
    ("allow", 0, "peers", "false"),
    ("allow", 0, "second_copies", "false"),
    ("allow", 0, "retry_after", "false"),
    ("allow", 0, "max_attempts", "3"),
    ("rules", 0, "drain_grace_ms", "250"),
    ("rules", 0, "fall_multiple", "2"),
    ("prices", 0, "waste", "0.05"),
    ("prices", 0, "late_fail", "0.02"),
    ("prices", 0, "origin", "0.06"),
    ("tier.report", 0, "how", '"none"'),
    ("tier.report", 0, "fields", "[]"),
    ("tier.conn", 0, "idle_s", "8"),
    ("tier.conn", 0, "connect_timeout_ms", "250"),
    ("class", 0, "name", '"berth-map"'),
    ("class", 0, "share", "[2, 3]"),
    ("class", 0, "deadline_ms", "8000"),
    ("class", 1, "name", '"fare"'),
    ("class", 1, "share", "[5, 7]"),
    ("class", 1, "deadline_ms", "1500"),
    ("class", 1, "worth", "3"),
    ("class", 1, None, WRITES),
    ("fam.class", 1, None, "\n[[fam.class]]\nparts = 1\n\n[[fam.class]]\nparts = 1\n"),
    ("fam", 0, "purges", "[0.3, 0.9]"),
    ("fam", 0, "purge_grace_ms", "300"),
    ("fam", 0, "tells", '"all"'),
    ("fam", 0, "tells_size", "false"),
]
MEADOW = [
    ("", 0, "name", '"meadow-notes"'),
    ("", 0, "stock", '"meadow-notes-1"'),
    ("clients", 0, "retries", "[0, 1.99]"),
    ("allow", 0, "probes", "true"),
    ("allow", 0, "cancel", "false"),
    ("allow", 0, "max_attempts", "5"),
    ("allow", 0, "retry_after", "true"),
    ("rules", 0, "drain_grace_ms", "1000"),
    ("rules", 0, "fall_multiple", "4"),
    ("prices", 0, "cross_zone", "0.1"),
    ("prices", 0, "probe", "0.02"),
    ("tier", 0, "weights", '"nominal"'),
    ("tier.conn", 0, "idle_s", "6"),
    ("class", 0, "name", '"note"'),
    ("class", 0, "share", "1"),
    ("class", 0, "work_ms", "[40, 110]"),
    ("class", 0, "aim_ms", "200"),
    ("class", 0, "deadline_ms", "1200"),
    ("class", 0, "worth", "1"),
    ("class", 1, None, None),
    ("fam.class", 1, None, None),
    ("fam", 0, "per_parent", "0"),
    ("fam", 0, "direct", "true"),
    ("fam", 0, "joins", "true"),
    ("fam", 0, "siblings", '"none"'),
    ("fam", 0, "tells", '"none"'),
    ("fam", 0, "purges", "0.5"),
    ("fam", 0, "tells_size", "true"),
]


def changed(text, changes):
    """The text of a site file with these changes; stops where one of them finds no place."""
    sections, seen = [["", 0, []]], {"": 0}
    for line in text.splitlines():
        head = re.fullmatch(r"\[+([\w.]+)\]+", line.strip())
        if head:
            name = head[1]
            seen[name] = seen.get(name, -1) + 1
            sections.append([name, seen[name], []])
        sections[-1][2].append(line)
    for name, number, key, value in changes:
        lines = next(s[2] for s in sections if s[:2] == [name, number])
        if key is None:
            lines[:] = [] if value is None else lines + value.splitlines() + [""]
            continue
        at = [i for i, line in enumerate(lines) if re.match(rf"{key}\s*=", line)]
        if at:
            lines[at[0]] = f"{key} = {value}"
        elif name:
            lines.insert(1, f"{key} = {value}")
        else:
            sys.exit(f"no '{key}' at the top")
    return "\n".join(line for s in sections for line in s[2]) + "\n"


def main():
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    for path, changes, name in ((sys.argv[1], HARBOUR, "harbour-tickets"), (sys.argv[2], MEADOW, "meadow-notes")):
        source, folder = Path(path), HERE / name
        folder.mkdir(exist_ok=True)
        (folder / f"{name}.toml").write_text(changed(source.read_text(), changes))
        for beside in ("real.json", "wire.json", "unlock.txt"):
            shutil.copyfile(source.parent / beside, folder / beside)
        print(folder / f"{name}.toml")


main()
