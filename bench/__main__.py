"""Runs every benchmark with its bounds: ``python -m bench``."""

import subprocess
import sys

BENCHES = [
    ["bench.placement"],
    ["bench.spread"],
    ["bench.relay"],
    ["bench.daemon"],
    ["bench.load"],
]


def main() -> int:
    """Run one after the other; return 1 if any is out of its bounds."""
    failed = []
    for bench in BENCHES:
        print(f"== {' '.join(bench)}", flush=True)
        ended = subprocess.run([sys.executable, "-m", *bench], check=False)  # noqa: S603
        if ended.returncode:
            failed.append(" ".join(bench))
    print(f"out of bounds: {', '.join(failed) or 'none'}")
    return int(bool(failed))


if __name__ == "__main__":
    sys.exit(main())
