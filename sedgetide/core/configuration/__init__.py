"""What the operators ask for, in the product's own terms."""
