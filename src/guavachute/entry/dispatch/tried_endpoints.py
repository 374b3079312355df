"""The endpoints to which one request is not sent again."""

from guavachute import ids


class TriedEndpoints:
    """The endpoints that one request was sent to in vain.

    One that closed an idle connection while the request was on its way has
    nothing against it: it is asked once more if no other can be used.
    """

    def __init__(self) -> None:
        self._tried: set[ids.EndpointId] = set()
        self._crossed: set[ids.EndpointId] = set()
        self._readmitted: set[ids.EndpointId] = set()

    def __contains__(self, endpoint: object) -> bool:
        return endpoint in self._tried

    def add(self, endpoint: ids.EndpointId) -> None:
        """Record an endpoint that refused, failed or was not reached."""
        self._tried.add(endpoint)

    def add_crossed(self, endpoint: ids.EndpointId) -> None:
        """Record that an idle connection ended under the request."""
        if endpoint not in self._readmitted:
            self._crossed.add(endpoint)

    def readmit_crossed(self) -> bool:
        """Allow endpoints again whose idle connections had ended.

        Each is allowed once; False if there is none.
        """
        found = self._crossed & self._tried
        self._tried -= found
        self._readmitted |= found
        self._crossed.clear()
        return bool(found)
