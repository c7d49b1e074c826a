"""Who is registered, and who is here."""
