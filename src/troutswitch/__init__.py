"""troutswitch: online and batch language-model inference on one fleet."""

__version__ = "0.1.0"
