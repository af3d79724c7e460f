#!/usr/bin/env python3
"""Prints one line for a run of a small scenario. Exits with 1 if the run has no result, if a rule was broken, or if the
report names a fault (such as a crash of a front) or a gate."""
import json
import re
import sys

kind, seed, code, report, log = sys.argv[1:6]
try:
    text = open(log, errors="replace").read()
except OSError:
    text = ""
try:
    told = json.load(open(report))
    row = told["row"]
except (OSError, ValueError, KeyError):
    last = text.strip().splitlines()[-1:] or ["printed nothing"]
    print(f"{kind:11} {seed:>6}  NO RESULT (exit {code}): {last[0][:160]}", flush=True)
    sys.exit(1)
broken = {rule: count for rule, count in row.get("rules", {}).items() if count}
broken.update(told.get("breaks") or {})
fault, gate = told.get("fault"), row.get("gate")
bad = broken or fault or gate
verdict = "ok" if not bad else f"FAILED rules {broken} fault {fault} gate {gate}"
late = sum(window.get("late", 0) for window in told.get("windows", []))
took = re.search(r"restarts took \[([^\]]*)\]", text)
took = [float(s) for s in took.group(1).split(",")] if took and took.group(1).strip() else []
ready = f"{max(took):.1f} s of {len(took)}" if took else "-"
print(
    f"{kind:11} {seed:>6}  G {row['G']:.3f} of {row['G_top']:.3f}  served {told['whole']:.3f}  {verdict}"
    f"  lost {row.get('rules', {}).get('lost', 0)}  late {late}  ready {ready}",
    flush=True,
)
sys.exit(1 if bad else 0)
