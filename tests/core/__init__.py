"""Tests of the types shared by all packages."""
