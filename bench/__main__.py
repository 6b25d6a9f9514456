"""Runs the benchmarks that have regression bounds: ``python -m bench``."""

import subprocess
import sys

BENCHMARKS = [
    ["bench.placement"],
    ["bench.spread"],
    ["bench.relay"],
    ["bench.daemon"],
    ["bench.load"],
]


def main() -> int:
    """Run the benchmarks in sequence; return 1 if any exceeds its bounds, else 0."""
    failed = []
    for bench in BENCHMARKS:
        print(f"== {' '.join(bench)}", flush=True)
        result = subprocess.run([sys.executable, "-m", *bench], check=False)  # noqa: S603
        if result.returncode:
            failed.append(" ".join(bench))
    print(f"out of bounds: {', '.join(failed) or 'none'}")
    return int(bool(failed))


if __name__ == "__main__":
    sys.exit(main())
