#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: they need nothing but Python's library.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import importlib
import pathlib

for path in sorted(pathlib.Path("review/standins_3").glob("*.py")):
    compile(path.read_text(), str(path), "exec")
    importlib.import_module(f"review.standins_3.{path.stem}".removesuffix(".__init__"))
for path in sorted(pathlib.Path("review").glob("1[1-5]/case.py")):
    compile(path.read_text(), str(path), "exec")
CHECK
