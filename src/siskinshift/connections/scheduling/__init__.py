"""Admission control and scheduling of the requests for an agent's upstream."""
