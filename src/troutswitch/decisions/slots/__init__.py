"""Assignment of engine slots: one coordinator counts the slots of each group of engines."""
