"""A TCP proxy before the store: passes channels, or resets each as it comes.

    python3 gate.py LISTEN_IP:PORT TARGET_IP:PORT

SIGUSR1 begins to reset: open channels are reset, and each new one as soon as it
is accepted. SIGUSR2 ends that. It prints "listening" once it listens, and the
number of channels that it has reset when resets end.
"""

import contextlib
import signal
import socket
import struct
import sys
import threading

RESET = struct.pack("ii", 1, 0)


def address(text):
    ip, _, port = text.rpartition(":")
    return ip, int(port)


class Gate:
    def __init__(self, target):
        self.target = target
        self.resets = False
        self.count = 0
        self.open = set()

    def reset(self, sock):
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.shutdown(socket.SHUT_RD)
        with contextlib.suppress(OSError):
            sock.close()

    def begin(self, *_):
        self.resets = True
        for sock in list(self.open):
            self.reset(sock)

    def end(self, *_):
        self.resets = False
        print("resets", self.count, flush=True)

    def accept(self, server):
        while True:
            sock, _ = server.accept()
            if self.resets:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.close()
                self.count += 1
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            other = socket.create_connection(self.target)
            other.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.open.add(sock)
            for pair in ((sock, other), (other, sock)):
                threading.Thread(
                    target=self.pump, args=pair, daemon=True
                ).start()

    def pump(self, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                sink.sendall(data)
        self.open.discard(source)
        self.open.discard(sink)
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


def main():
    gate = Gate(address(sys.argv[2]))
    server = socket.socket()
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.bind(address(sys.argv[1]))
    server.listen(512)
    signal.signal(signal.SIGUSR1, gate.begin)
    signal.signal(signal.SIGUSR2, gate.end)
    threading.Thread(target=gate.accept, args=(server,), daemon=True).start()
    print("listening", "%s:%d" % server.getsockname(), flush=True)
    while True:
        signal.pause()


main()
