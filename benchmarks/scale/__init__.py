"""Scale benchmark: a large fleet of hollow and real ingresses, voters, a discovery service, a counter and links.

`__main__` is the command line, `roles` holds the child processes, `world` starts and queries them, and `report`
summarizes the measured figures and compares them with the limits.
"""
