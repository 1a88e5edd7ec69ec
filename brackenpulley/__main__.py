"""python -m brackenpulley"""

from .cli import app

if __name__ == "__main__":
    app(prog_name="brackenpulley")
