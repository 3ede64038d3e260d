"""The standalone daemon (`troutswitch daemon`): a serving system on a log service of its own.

It keeps jobs, ownership and configuration in streams of a log service, finds its peers by
gossip and speaks the OpenAI interface. Operators, callers, engines, the log service, the machine
list and peer daemons have a package each; `decisions/` is pure, `runtime/` runs it, and
`simulation/` plays whole fleets on a virtual clock. It may use modules of the gateway; nothing
of the gateway uses a module of it.
"""
