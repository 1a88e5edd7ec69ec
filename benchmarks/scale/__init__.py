"""A scale run: many hollow ingresses beside real ones, voters, a discovery of many servers, a counter, and links.

`__main__` says how it is started; `roles` are its processes, `world` starts and asks them, `report` judges."""
