"""Tests of the types that every part shares."""
