"""Commands that the admission queue returns to its owner."""

import attrs

from hollyknot_state import Verdict


@attrs.frozen
class Admit:
    """Tells the owner to dispatch a request now.

    Attributes:
        request_id: ID of the request, which has left the queue and holds a
            slot.
    """

    request_id: str


@attrs.frozen
class Refuse:
    """Tells the owner to answer at once that a request was not run.

    Attributes:
        request_id: ID of the refused request, which may be another than the
            one just offered.
        verdict: Verdict with the outcome "not run", the reason and the time
            after which to retry.
    """

    request_id: str
    verdict: Verdict


AdmissionCommand = Admit | Refuse
