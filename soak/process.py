"""Run a balancer or agent whose datagrams pass through the soak's proxy.

Usage: ``python -S soak/process.py ROLE``, as the platform runs
``platform/main.py``. Only `sys` and `os` are imported before the first line of
that program, so that its start takes as long as on the platform. Its sockets
are replaced when it imports their module.
"""

import sys
from os import environ
from os.path import dirname, join, realpath

PROXY_VARIABLE = "SOAK_PROXY"
TRANSPORT = "lycheeglade.transport"


class TransportFinder:
    """Finds the module of sockets and lets it use the soak's proxy."""

    @staticmethod
    def find_spec(name, path=None, target=None):
        """Return the spec of the module of sockets, None for others."""
        if name != TRANSPORT:
            return None
        path_finder = sys.meta_path[-1]
        spec = path_finder.find_spec(name, path, target)
        execute = spec.loader.exec_module

        def execute_and_replace(module):
            execute(module)
            from lycheeglade.address import parse_address
            from soak.proxied_socket import make_proxied_socket

            proxy = parse_address(environ[PROXY_VARIABLE])
            module.DatagramSocket = make_proxied_socket(module.DatagramSocket, proxy)

        spec.loader.exec_module = execute_and_replace
        return spec


if __name__ == "__main__":
    sys.meta_path.insert(0, TransportFinder)
    sys.path[0] = join(dirname(dirname(realpath(__file__))), "platform")
    __file__ = sys.argv[0] = join(sys.path[0], "main.py")
    with open(__file__, "rb") as source:
        program = compile(source.read(), __file__, "exec")
    exec(program)
