"""Client process: sends one request with a large body and prints the status of the answer; 0 if there was none."""

import socket
import sys


def main():
    port, request_id, path, size, timeout_ms = sys.argv[1:6]
    head = (f"POST {path} HTTP/1.1\r\nHost: mesh.example\r\nX-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {timeout_ms}\r\nContent-Length: {size}\r\n\r\n").encode()
    status = 0
    try:
        with socket.create_connection(("127.0.0.1", int(port)), timeout=1.0) as sock:
            sock.settimeout(int(timeout_ms) / 1000 + 0.5)
            sock.sendall(head + b"p" * int(size))
            answer = b""
            while b"\r\n" not in answer:
                data = sock.recv(4096)
                if not data:
                    break
                answer += data
            if answer.startswith(b"HTTP/1.1 "):
                status = int(answer.split(b" ", 2)[1])
    except OSError:
        pass
    print(status)


main()
