"""Decisions about one request: who pays, where it goes, whether again."""
