"""Who has which slots of the engines: one coordinator counts them for each group of engines."""
