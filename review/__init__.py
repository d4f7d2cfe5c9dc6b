"""Failing cases of an independent review; see REPORT.md."""
