"""Continuation of streams at engines of the software version that began them."""
