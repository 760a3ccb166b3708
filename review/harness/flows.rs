//! A server beside the agent, and a client that opens flows.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::site::{APP_PORT, CONTROL_PORT, DATAGRAM_PORT, OUTBOUND_PORT, Record, SERVICE, http};

const SYN: u8 = 32;
const ACK: u8 = 4;
const RST: u8 = 128;
const BOUNCED: u8 = 1;
const HEAD: usize = 34;

struct Packet<'a> {
    seq: u32,
    ack: u32,
    from: SocketAddrV4,
    to: SocketAddrV4,
    flags: u8,
    data: &'a [u8],
}

impl Packet<'_> {
    fn write(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEAD + self.data.len());
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        // The sum's key is not disclosed; the ends of these flows do not check it.
        out.extend([0xa1, 0xb2, 0xc3, 0xd5, 0, 0, 0, 0]);
        out.extend(self.from.port().to_be_bytes());
        out.extend(self.to.port().to_be_bytes());
        out.extend(self.from.ip().octets());
        out.extend(self.to.ip().octets());
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend([self.flags, 0, 0, 0]);
        out.extend(self.data);
        out
    }

    fn read(bytes: &[u8]) -> Option<Packet<'_>> {
        if bytes.len() < HEAD {
            return None;
        }
        let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        Some(Packet {
            seq: u32_at(0),
            ack: u32_at(4),
            from: SocketAddrV4::new(Ipv4Addr::from(u32_at(20)), u16_at(16)),
            to: SocketAddrV4::new(Ipv4Addr::from(u32_at(24)), u16_at(18)),
            flags: bytes[30],
            data: &bytes[HEAD..],
        })
    }
}

/// Starts a server at the agent's host: it pings its agent and answers each request on
/// a flow that it holds with one packet.
pub fn start_server(ip: Ipv4Addr, record: Record) -> Result<(), String> {
    let socket = UdpSocket::bind((ip, APP_PORT)).map_err(|e| e.to_string())?;
    let listener = TcpListener::bind((ip, APP_PORT)).map_err(|e| e.to_string())?;
    thread::spawn(move || {
        // A status check gets no more than a closed connection here; none is made.
        for stream in listener.incoming() {
            drop(stream);
        }
    });
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    thread::spawn(move || {
        for sequence in 1u64.. {
            let body = format!(
                r#"{{"service":"{SERVICE}","address":"{ip}:{APP_PORT}","zone":"dar-kati","version":"v1","concurrency":4,"state":"ready","cold-remaining-ms":0,"sequence":{sequence},"born":{}}}"#,
                born.as_millis()
            );
            let agent = SocketAddrV4::new(ip, CONTROL_PORT);
            let _ = http(
                agent,
                "PUT",
                "/api/instances/i-1",
                &body,
                Duration::from_secs(1),
            );
            thread::sleep(Duration::from_millis(1000));
        }
    });
    thread::spawn(move || {
        let mut flows: BTreeMap<SocketAddrV4, u32> = BTreeMap::new();
        let mut buf = vec![0; 2048];
        while let Ok(len) = socket.recv(&mut buf) {
            let Some(packet) = Packet::read(&buf[..len]) else {
                continue;
            };
            let (from, to) = (packet.to, packet.from);
            let answer = if packet.flags & SYN != 0 {
                let seq = 1_000_000;
                flows.insert(packet.from, seq + 1);
                let ack = packet.seq.wrapping_add(1);
                Some(
                    Packet {
                        seq,
                        ack,
                        from,
                        to,
                        flags: SYN | ACK,
                        data: &[],
                    }
                    .write(),
                )
            } else if let Some(seq) = flows.get_mut(&packet.from) {
                if packet.data.is_empty() {
                    None
                } else {
                    record.line(&format!("the server ran a request of flow {}", packet.from));
                    let data =
                        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-server-signature: s\r\n\r\nok";
                    let ack = packet.seq.wrapping_add(packet.data.len() as u32);
                    let out = Packet {
                        seq: *seq,
                        ack,
                        from,
                        to,
                        flags: ACK,
                        data,
                    }
                    .write();
                    *seq += data.len() as u32;
                    Some(out)
                }
            } else {
                let mut bytes = buf[..len].to_vec();
                bytes[30] |= BOUNCED;
                Some(bytes)
            };
            if let Some(answer) = answer {
                let _ = socket.send_to(&answer, (ip, OUTBOUND_PORT));
            }
        }
    });
    Ok(())
}

/// Starts a client that sends one request a half second, each on a new flow, and counts
/// those served. Returns the flag that is set once one was.
pub fn start_client(
    ip: Ipv4Addr,
    ingress: SocketAddrV4,
    route: SocketAddrV4,
    record: Record,
) -> Result<Arc<AtomicBool>, String> {
    let socket = UdpSocket::bind((ip, DATAGRAM_PORT)).map_err(|e| e.to_string())?;
    socket
        .set_read_timeout(Some(Duration::from_millis(100)))
        .map_err(|e| e.to_string())?;
    let served = Arc::new(AtomicBool::new(false));
    let seen = served.clone();
    thread::spawn(move || {
        let mut buf = vec![0; 2048];
        for n in 0u32.. {
            let from = SocketAddrV4::new(ip, 40_000 + (n % 20_000) as u16);
            let seq = 0x1122_3344u32.wrapping_add(n * 7919);
            let mut outcome = "no answer";
            // The opening packet and its copies after 200 and 600 ms.
            for (copy, wait) in [(0u32, 200u64), (1, 400), (2, 800)] {
                let syn = Packet {
                    seq,
                    ack: copy,
                    from,
                    to: route,
                    flags: SYN,
                    data: &[],
                };
                let _ = socket.send_to(&syn.write(), ingress);
                let until = std::time::Instant::now() + Duration::from_millis(wait);
                while std::time::Instant::now() < until && outcome == "no answer" {
                    let Ok(len) = socket.recv(&mut buf) else {
                        continue;
                    };
                    let Some(answer) = Packet::read(&buf[..len]) else {
                        continue;
                    };
                    if answer.to != from {
                        continue;
                    }
                    if answer.flags & RST != 0 {
                        outcome = "reset";
                    } else if answer.flags & SYN != 0 {
                        let text =
                            format!("GET / HTTP/1.1\r\nhost: x\r\nx-request-id: r{n}\r\n\r\n");
                        let ask = Packet {
                            seq: seq.wrapping_add(1),
                            ack: answer.seq.wrapping_add(1),
                            from,
                            to: route,
                            flags: ACK,
                            data: text.as_bytes(),
                        };
                        let _ = socket.send_to(&ask.write(), ingress);
                    } else if !answer.data.is_empty() {
                        outcome = "served";
                        seen.store(true, Ordering::SeqCst);
                    }
                }
                if outcome != "no answer" {
                    break;
                }
            }
            record.line(&format!("request r{n}: {outcome}"));
            thread::sleep(Duration::from_millis(500));
        }
    });
    Ok(served)
}
