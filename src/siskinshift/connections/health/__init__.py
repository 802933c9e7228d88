"""Outlier detection: observes upstreams at agents and ejects failing ones at balancers.

Contents of flows cannot be read, and health check responses are not used: all evidence
comes from packets of real flows and their times.
"""
