"""Configuration versions: their documents, checks, catalogs and routes."""
