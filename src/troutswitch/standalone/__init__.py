"""The standalone daemon (`troutswitch daemon`): a serving system on a log service of its own.

It keeps jobs, ownership and configuration in streams of a log service, finds its peers by
gossip and implements the OpenAI interface. Each interface has a package: operators, callers,
engines, the log service, the machine list and peer daemons. `decisions/` is pure, `runtime/` runs
it, and `simulation/` runs whole fleets on a virtual clock. It may import modules of the gateway;
the gateway must not import its modules.
"""
