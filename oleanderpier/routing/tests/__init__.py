"""Tests of which server runs a request."""
