"""The simulator's wire: framing and parsing (frames), ids and units (door), the hosted instances (host)."""
