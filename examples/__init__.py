"""Programs that embed the decision module."""
