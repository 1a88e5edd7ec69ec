"""python -m brackenpulley"""

from .cli import main

if __name__ == "__main__":
    main()
