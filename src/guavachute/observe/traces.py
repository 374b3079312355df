"""Traces: one span per hop, propagated in the W3C ``traceparent`` header.

The OpenTelemetry SDK is imported only if spans are exported. Without an
exporter, the API's no-op tracer still propagates the caller's context.
"""

import contextlib
import typing

from opentelemetry import context as otel_context
from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

from guavachute import settings

Span = trace.Span
Context = otel_context.Context

_propagator = tracecontext.TraceContextTextMapPropagator()


class Tracer:
    """Starts the spans of one process."""

    def __init__(self, tracer: trace.Tracer) -> None:
        self._tracer = tracer

    def start(
        self,
        name: str,
        parent: Context | None,
        attributes: dict[str, str | int] | None = None,
    ) -> Span:
        """Start a span, which the caller has to end."""
        return self._tracer.start_span(
            name, context=parent, attributes=attributes
        )


def context_from(headers: typing.Mapping[str, str]) -> Context:
    """The caller's context.

    :param headers: by name in lower case
    """
    return _propagator.extract(headers)


def context_of(span: Span, parent: Context | None = None) -> Context:
    """The context for child spans of *span*."""
    return trace.set_span_in_context(span, parent)


def headers_for(context: Context) -> dict[str, str]:
    """The headers that propagate *context* to the next hop."""
    headers: dict[str, str] = {}
    _propagator.inject(headers, context)
    return headers


def fail(span: Span, reason: str) -> None:
    """Mark *span* as failed."""
    span.set_attribute('guavachute.reason', reason)
    span.set_status(trace.StatusCode.ERROR, reason)


@contextlib.contextmanager
def exporting(
    service_name: str, options: settings.Traces
) -> typing.Iterator[Tracer]:
    """A tracer that exports as configured; spans are flushed at the end."""
    if options.exporter == 'none':
        yield Tracer(trace.NoOpTracer())
        return
    from opentelemetry.sdk import resources
    from opentelemetry.sdk import trace as sdk_trace
    from opentelemetry.sdk.trace import export

    provider = sdk_trace.TracerProvider(
        resource=resources.Resource({'service.name': service_name}),
        shutdown_on_exit=False,
    )
    provider.add_span_processor(export.BatchSpanProcessor(_exporter(options)))
    try:
        yield Tracer(provider.get_tracer('guavachute'))
    finally:
        provider.shutdown()


def _exporter(options: settings.Traces) -> typing.Any:
    if options.exporter == 'json-lines':
        from opentelemetry.sdk.trace import export

        assert options.path is not None, 'checked by the settings'
        return export.ConsoleSpanExporter(
            out=open(options.path, 'a', encoding='utf-8'),
            formatter=lambda span: span.to_json(indent=None) + '\n',
        )
    from opentelemetry.exporter.otlp.proto.http import trace_exporter

    return trace_exporter.OTLPSpanExporter(endpoint=options.url)
