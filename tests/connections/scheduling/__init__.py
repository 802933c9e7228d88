"""Tests of admission control and scheduling at the agent."""
