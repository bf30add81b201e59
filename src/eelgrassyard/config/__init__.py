"""Questionnaire and site configuration."""
