"""The test suite of brackenpulley."""
