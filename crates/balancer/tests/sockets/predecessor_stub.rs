//! A stub of the process that another one replaces, with which a test decides what is handed over.

use std::io::{BufRead, BufReader, IoSlice, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::{UnixListener, UnixStream};

use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};
use serde_json::{Value, json};
use shorewharf_emulator::standin::*;

use crate::BINARY;
use crate::upgrade::config_for_successor;

/// An established connection: the ends of its client and its server, and the balancer's ends.
pub struct EstablishedPair {
    /// The client's end.
    pub client: Connection,
    /// The server's end.
    pub server: Connection,
    balancer_to_client: TcpStream,
    balancer_to_server: TcpStream,
}

/// Connects two sockets. Returns the end that connected and the one that accepted.
fn connect() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind((loopback_address(2), 0)).expect("a port");
    let near = TcpStream::connect(listener.local_addr().expect("bound")).expect("a connection");
    (near, listener.accept().expect("a connection").0)
}

impl EstablishedPair {
    /// Creates a connection whose balancer is no process.
    pub fn new() -> Self {
        let ((client, balancer_to_client), (balancer_to_server, server)) = (connect(), connect());
        for stream in [&balancer_to_client, &balancer_to_server] {
            stream.set_nonblocking(true).expect("a socket");
        }
        let [client, server] = [client, server].map(Connection::from_stream);
        EstablishedPair { client, server, balancer_to_client, balancer_to_server }
    }
}

/// The stub, connected to the process that replaces it.
pub struct PredecessorStub {
    /// The process that replaces the stub.
    pub successor: BalancerProcess,
    stream: BufReader<UnixStream>,
}

fn send_with_descriptors(stream: &UnixStream, line: &str, descriptors: &[BorrowedFd<'_>]) {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    assert!(control.push(SendAncillaryMessage::ScmRights(descriptors)));
    let sent = sendmsg(stream, &[IoSlice::new(line.as_bytes())], &mut control, SendFlags::empty());
    assert_eq!(sent.expect("the line is sent"), line.len());
}

impl PredecessorStub {
    /// Puts a stub in the place of a process that has ended, and starts a process that replaces the stub. `state` has the fields
    /// of the state that are to differ from those of a process without any list.
    pub fn start(ended: &BalancerProcess, config: &Value, state: &Value) -> Self {
        let address: SocketAddr = ended.address();
        let listener = TcpListener::bind(address).expect("the address should be free again");
        listener.set_nonblocking(true).expect("a socket");
        let folder = format!("shorewharf-{}", address.to_string().replace(':', "-"));
        let path = ended.shared_folder().join(folder).join("process");
        // The ended process has left its socket.
        std::fs::remove_file(&path).expect("the socket of the ended process");
        let socket = UnixListener::bind(&path).expect("the path should be free");
        let mut text =
            json!({"version": 1, "listeners": 1, "held": 16, "known": {"index": 0, "endpoints": []}});
        for (key, value) in state.as_object().into_iter().flatten() {
            text[key] = value.clone();
        }
        let accepting = std::thread::spawn(move || {
            let (stream, _) = socket.accept().expect("the new process connects");
            stream.set_read_timeout(Some(LIMIT)).expect("a socket");
            send_with_descriptors(&stream, &format!("{text}\n"), &[listener.as_fd()]);
            stream
        });
        let successor = ended.start_sibling(BINARY, &config_for_successor(config, ended));
        let stream = accepting.join().expect("no panic");
        PredecessorStub { successor, stream: BufReader::new(stream) }
    }

    /// Sends a line.
    pub fn send(&mut self, line: &str) {
        self.stream.get_mut().write_all(format!("{line}\n").as_bytes()).expect("the new process reads");
    }

    /// Transfers an established connection with this id. `state` has the fields that are to differ from those of a quiet one.
    pub fn transfer(&mut self, connection: &EstablishedPair, id: u64, state: &Value) {
        let client = connection.balancer_to_client.peer_addr().expect("connected");
        let mut text = json!({"client": client, "server": 1, "id": id, "class": "chat", "tenant": "acme", "key": 1,
            "group": 0, "hint": null, "load": null, "asked": null});
        for (key, value) in state.as_object().into_iter().flatten() {
            text[key] = value.clone();
        }
        let descriptors = [connection.balancer_to_client.as_fd(), connection.balancer_to_server.as_fd()];
        send_with_descriptors(self.stream.get_ref(), &format!("STANDS {text}\n"), &descriptors);
    }

    /// Closes the socket, as the end of the replaced process does. Returns the new process.
    pub fn end(self) -> BalancerProcess {
        self.successor
    }

    /// Reads the next line of the new process.
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.stream.read_line(&mut line).expect("the new process runs");
        line.trim_end().to_owned()
    }

    /// Waits for a line of the new process; other lines are skipped.
    pub fn await_line(&mut self, expected: &str) {
        for line in (&mut self.stream).lines() {
            if line.expect("the new process runs") == expected {
                return;
            }
        }
        panic!("the new process has closed the socket before it sent {expected:?}");
    }
}
