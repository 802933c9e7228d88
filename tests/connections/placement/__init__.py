"""Tests of the placement of new flows."""
