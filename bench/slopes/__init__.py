"""Cost of each role of a daemon, extrapolated with linear fits.

``python -m bench.slopes`` measures each cost at three or more small sizes, fits
a line to it and prints the page ``docs/CAPACITY.md`` for the target size.
"""

from bench.slopes.fits import *  # noqa: F403
from bench.slopes.roles import *  # noqa: F403
