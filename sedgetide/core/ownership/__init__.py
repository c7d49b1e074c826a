"""Who owns which keys, who may order it, and how keys move."""
