//! Runs the real program against fake control hosts.

#![allow(dead_code)]

pub mod host;

use std::{
    fmt::Write,
    io::{Read, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Command, Output},
    thread,
};

/// An address that refuses connections.
pub fn refusing_address() -> SocketAddr {
    let any = "127.0.0.1:0".parse::<SocketAddr>().unwrap();
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&any.into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    // It is bound but does not listen. It stays open as long as the test process: once
    // closed, a host of a test that runs beside it could get the address.
    std::mem::forget(socket);
    address
}

/// A host that does not answer connection attempts, as behind a network
/// partition.
pub fn unreachable_host() -> (SocketAddr, (socket2::Socket, TcpStream)) {
    let any = "127.0.0.1:0".parse::<SocketAddr>().unwrap();
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    // Fills the accept queue, which nothing accepts from.
    let queued = TcpStream::connect(address).unwrap();
    (address, (socket, queued))
}

/// A host that receives whole requests and closes the connection without an
/// answer.
pub fn closing_host() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            // The requests of the tests are far smaller than one segment.
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.flush();
        }
    });
    address
}

/// Runs the program without any setting from the environment.
pub fn limpetctl(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_limpetctl"));
    for (name, _) in std::env::vars_os() {
        if name.to_string_lossy().starts_with("LIMPET_") {
            command.env_remove(name);
        }
    }
    command.args(args).output().unwrap()
}

/// A sequence of commands and its transcript.
pub struct Session {
    control: String,
    names: Vec<(String, &'static str)>,
    pub text: String,
}

impl Session {
    pub fn new(control: &[SocketAddr]) -> Self {
        let control: Vec<_> = control.iter().map(ToString::to_string).collect();
        let names = ["CONTROL-1", "CONTROL-2"];
        Session {
            control: control.join(","),
            names: control.into_iter().zip(names).collect(),
            text: String::new(),
        }
    }

    /// Replaces `address` by `name` in the transcript.
    pub fn redact_as(&mut self, address: SocketAddr, name: &'static str) {
        self.names.push((address.to_string(), name));
    }

    /// Runs a command as alice and adds it to the transcript.
    pub fn run(&mut self, line: &str) -> Output {
        self.run_as("alice", line)
    }

    pub fn run_as(&mut self, operator: &str, line: &str) -> Output {
        let mut args = vec!["--control", &self.control, "--operator", operator];
        args.extend(line.split_whitespace());
        let output = limpetctl(&args);
        self.add(operator, line, output)
    }

    /// Runs a command line that the program printed.
    pub fn run_printed(&mut self, line: &str) -> Output {
        let words = shlex::split(line).unwrap();
        let args: Vec<_> = words.iter().skip(1).map(String::as_str).collect();
        let output = limpetctl(&args);
        self.add("", line, output)
    }

    fn add(&mut self, operator: &str, line: &str, output: Output) -> Output {
        let line = line.strip_prefix("limpetctl ").unwrap_or(line);
        let stdout = self.redact(&output.stdout);
        let stderr = self.redact(&output.stderr);
        let line = self.redact(line.as_bytes());
        let code = output.status.code().unwrap();
        writeln!(self.text, "{operator}$ limpetctl {line}\n{stdout}").unwrap();
        for line in stderr.lines() {
            writeln!(self.text, "stderr: {line}").unwrap();
        }
        writeln!(self.text, "exit code {code}\n").unwrap();
        output
    }

    /// Replaces the parts of the output that differ from run to run.
    pub fn redact(&self, output: &[u8]) -> String {
        let mut text = String::from_utf8_lossy(output).into_owned();
        for (address, name) in &self.names {
            text = text.replace(address, name);
        }
        text = mask(&text, "________-____-7___-____-____________", "[change id]");
        mask(&text, "____-__-__T__:__:__.___Z", "[time]")
    }
}

/// Replaces each match of `pattern`, where `_` is any hexadecimal digit, by
/// `name`.
fn mask(text: &str, pattern: &str, name: &str) -> String {
    let matches = |s: &str| {
        s.len() >= pattern.len()
            && s.bytes().zip(pattern.bytes()).all(|(b, p)| match p {
                b'_' => b.is_ascii_hexdigit(),
                p => b == p,
            })
    };
    let mut masked = String::new();
    let mut rest = text;
    while let Some(c) = rest.chars().next() {
        if matches(rest) {
            masked.push_str(name);
            rest = &rest[pattern.len()..];
        } else {
            masked.push(c);
            rest = &rest[c.len_utf8()..];
        }
    }
    masked
}
