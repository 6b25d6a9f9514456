"""What each role of a daemon costs, worked out from measured slopes.

``python -m bench.slopes`` measures at three or more small sizes, fits a line
to each cost and prints the page ``docs/CAPACITY.md`` for the size to come.
"""

from bench.slopes.fits import *  # noqa: F403
from bench.slopes.roles import *  # noqa: F403
