"""JSON-lines logs: one line per lifecycle event, none per token."""

import logging
import sys

import structlog


def configure_logging(level: str, daemon: str) -> structlog.typing.FilteringBoundLogger:
    """Configures structlog to write JSON lines to standard error and returns a logger."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.dict_tracebacks,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger().bind(daemon=daemon)
    return logger
