"""Adapter for the platform of a deployment: header names, documents, store client."""
