"""Result codes of requests, failures, and the responses that report them."""

from oleanderpier.results.codes import *  # noqa: F403
from oleanderpier.results.refusals import *  # noqa: F403
from oleanderpier.results.responses import *  # noqa: F403
from oleanderpier.results.send_errors import *  # noqa: F403
