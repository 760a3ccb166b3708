"""The packets of PROTOCOL.md: a header of 34 bytes and up to 1,200 bytes of data."""

import socket
import struct
import zlib

SYN, ACK, FIN, RST, BOUNCED = 32, 4, 16, 128, 1
HEADER = struct.Struct(">IIIIHH4s4sHB3s")


class Packet:
    """One packet. `src` and `dst` are pairs of an address and a port."""

    def __init__(self, src, dst, flags, seq=0, ack=0, data=b""):
        self.src, self.dst, self.flags = src, dst, flags
        self.seq, self.ack, self.data = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data
        self.sum = None

    def write(self):
        src, dst = socket.inet_aton(self.src[0]), socket.inet_aton(self.dst[0])
        # The real key is not disclosed. The system cannot check the sum, and a stand-in
        # only has to see that no byte was changed.
        covered = struct.pack(
            ">IIHH4s4sB", self.seq, self.ack, self.src[1], self.dst[1], src, dst, self.flags
        )
        self.sum = zlib.crc32(covered + self.data) | 1
        head = HEADER.pack(
            self.seq, self.ack, self.sum, 0, self.src[1], self.dst[1], src, dst,
            len(self.data), self.flags, b"\0\0\0",
        )
        return head + self.data


def read(datagram):
    """Reads a packet; `None` if the datagram holds none."""
    if len(datagram) < HEADER.size:
        return None
    seq, ack, total, _, sport, dport, src, dst, length, flags, _ = HEADER.unpack(
        datagram[: HEADER.size]
    )
    packet = Packet(
        (socket.inet_ntoa(src), sport), (socket.inet_ntoa(dst), dport), flags, seq, ack,
        datagram[HEADER.size : HEADER.size + length],
    )
    packet.sum = total
    return packet


def bounced(datagram):
    """The datagram as a server returns it: BOUNCED is set, `pad` is 0."""
    changed = bytearray(datagram)
    changed[30] |= BOUNCED
    changed[31:34] = b"\0\0\0"
    return bytes(changed)
