"""Tests over whole processes, and the gate that CI runs."""
