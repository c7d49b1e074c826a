"""Data model of the operators' configuration."""
