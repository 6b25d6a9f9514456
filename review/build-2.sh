#!/bin/bash
# Builds the stand-ins of the cases 6 on. They are Python: it is checked that all their
# modules compile and can be imported with the libraries of the build, ``target/deps``.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps"
python3 -m compileall -q standins review/stand_ins_2.py review/server_2.py review/payouts_2.py
for number in 6 7 8 9 10; do
    if [ -f "review/$number/case.py" ]; then
        python3 -m compileall -q "review/$number/case.py"
        python3 -c "import importlib; importlib.import_module('review.$number.case')"
    fi
done
python3 -m review.server_2 --help > /dev/null
