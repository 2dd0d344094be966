"""What admission tells its owner to do."""

import attrs

from hollyknot_state import Verdict


@attrs.frozen
class Admit:
    """Dispatch a request now.

    Attributes:
        request_id: The request, which has left the queue for a slot.
    """

    request_id: str


@attrs.frozen
class Refuse:
    """Answer a request at once: it was not run.

    Attributes:
        request_id: The request; not always the one just offered.
        verdict: Not run, with the reason and the time to come back.
    """

    request_id: str
    verdict: Verdict


AdmissionCommand = Admit | Refuse
