//! Nodes, on threads of the benchmark: they accept every connection, answer its first line with `UP` and return all
//! further bytes.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::thread;

use mio::event::Event;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};

use super::clients::would_block;

/// Number of node addresses. Several are needed since each has its own range of ports for connections to it.
pub const NODES: usize = 16;
/// Threads that run nodes.
const NODE_THREADS: usize = 3;
const UP: &[u8] = b"UP 1\r\n";

/// The address of a node. All nodes share a port.
pub fn node(n: usize, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 0, 7, 1 + (n % NODES) as u8), port))
}

/// Starts the nodes, which run until the program ends. Returns their port.
pub fn start() -> io::Result<u16> {
    let first = std::net::TcpListener::bind(node(0, 0))?;
    let port = first.local_addr()?.port();
    let rest = (1..NODES).map(|n| std::net::TcpListener::bind(node(n, port)));
    let mut listeners = [Ok(first)].into_iter().chain(rest).collect::<io::Result<Vec<_>>>()?;
    for _ in 0..NODE_THREADS {
        let share: Vec<_> = listeners.drain(..listeners.len().min(NODES.div_ceil(NODE_THREADS))).collect();
        thread::spawn(move || serve(share).expect("nodes serve"));
    }
    Ok(port)
}

struct Connection {
    stream: TcpStream,
    /// The first line has been answered.
    is_up: bool,
    /// Bytes that could not be written yet.
    pending: Vec<u8>,
}

fn serve(listeners: Vec<std::net::TcpListener>) -> io::Result<()> {
    let (mut poll, mut events) = (Poll::new()?, Events::with_capacity(1024));
    let mut registered = Vec::new();
    for (i, listener) in listeners.into_iter().enumerate() {
        listener.set_nonblocking(true)?;
        let mut listener = TcpListener::from_std(listener);
        poll.registry().register(&mut listener, Token(i), Interest::READABLE)?;
        registered.push(listener);
    }
    let mut connections: Vec<Option<Connection>> = Vec::new();
    let mut free: Vec<usize> = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    loop {
        let _ = poll.poll(&mut events, None);
        for event in &events {
            let Token(index) = event.token();
            if let Some(listener) = registered.get(index) {
                while let Ok((mut stream, _)) = listener.accept() {
                    let _ = stream.set_nodelay(true);
                    let slot = free.pop().unwrap_or_else(|| {
                        connections.push(None);
                        connections.len() - 1
                    });
                    let both = Interest::READABLE | Interest::WRITABLE;
                    poll.registry().register(&mut stream, Token(NODES + slot), both)?;
                    connections[slot] = Some(Connection { stream, is_up: false, pending: Vec::new() });
                }
                continue;
            }
            let slot = index - NODES;
            let Some(connection) = &mut connections[slot] else { continue };
            if !echo(connection, event, &mut buffer) {
                connections[slot] = None;
                free.push(slot);
            }
        }
    }
}

/// Writes back what has been received, or `UP` for the first line; false once the connection is closed.
fn echo(connection: &mut Connection, event: &Event, buffer: &mut [u8]) -> bool {
    if !connection.pending.is_empty() {
        match connection.stream.write(&connection.pending) {
            Ok(n) => drop(connection.pending.drain(..n)),
            e if would_block(&e) => return true,
            Err(_) => return false,
        }
    }
    if !event.is_readable() {
        return true;
    }
    loop {
        let n = match connection.stream.read(buffer) {
            Ok(0) => return false,
            Ok(n) => n,
            e if would_block(&e) => return true,
            Err(_) => return false,
        };
        let mut reply = &buffer[..n];
        if !connection.is_up {
            // First lines are short, so one read returns all of it.
            connection.is_up = true;
            reply = UP;
        }
        match connection.stream.write(reply) {
            Ok(written) => connection.pending.extend_from_slice(&reply[written..]),
            e if would_block(&e) => connection.pending.extend_from_slice(reply),
            Err(_) => return false,
        }
        if n < buffer.len() && !event.is_read_closed() {
            return true;
        }
    }
}
