"""Result codes: what became of a request, and why."""

from oleanderpier.results.codes import *  # noqa: F403
from oleanderpier.results.refusals import *  # noqa: F403
from oleanderpier.results.responses import *  # noqa: F403
from oleanderpier.results.send_errors import *  # noqa: F403
