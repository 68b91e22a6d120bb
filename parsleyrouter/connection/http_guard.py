"""An HTTP server for callers that are not trusted."""

from parsleyrouter.connection.http_server import HttpServer

__all__ = ["GuardedHttpServer"]


class GuardedHttpServer(HttpServer):
    """Refuse what would cost too much memory or mix up answers."""

    def busy(self) -> bool:
        """Tell whether a request is being answered."""
        return bool(self.tasks)
