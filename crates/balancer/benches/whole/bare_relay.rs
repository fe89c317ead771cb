//! The baseline of the measurements: a single-threaded relay that makes no decisions. Each client is connected to the
//! next node in turn, and bytes are relayed without being parsed.

use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};

/// One of the two connections of a relayed pair.
struct Side {
    stream: TcpStream,
    /// Bytes that could not be written to this side yet.
    pending: Vec<u8>,
}

/// Serves until the process is killed. Prints the address as its first line.
pub fn serve(listen: SocketAddr, nodes: &[SocketAddr]) -> io::Result<()> {
    let (mut poll, mut events) = (Poll::new()?, Events::with_capacity(1024));
    let mut listener = TcpListener::bind(listen)?;
    println!("{}", listener.local_addr()?);
    poll.registry().register(&mut listener, Token(usize::MAX), Interest::READABLE)?;
    // Sides are stored in pairs: a client's side at an even index, and its node's at the next one.
    let mut sides: Vec<Option<Side>> = Vec::new();
    let mut free: Vec<usize> = Vec::new();
    let mut buffer = vec![0; 16 << 10];
    let mut accepted = 0;
    loop {
        match poll.poll(&mut events, None) {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        for event in &events {
            let Token(index) = event.token();
            if index == usize::MAX {
                while let Ok((client, _)) = listener.accept() {
                    accepted += 1;
                    let pair = free.pop().unwrap_or_else(|| {
                        sides.extend([None, None]);
                        sides.len() - 2
                    });
                    let server = TcpStream::connect(nodes[accepted % nodes.len()])?;
                    for (side, mut stream) in [(pair, client), (pair + 1, server)] {
                        stream.set_nodelay(true)?;
                        let both = Interest::READABLE | Interest::WRITABLE;
                        poll.registry().register(&mut stream, Token(side), both)?;
                        sides[side] = Some(Side { stream, pending: Vec::new() });
                    }
                }
                continue;
            }
            let pair = index & !1;
            let (first, second) = sides[pair..pair + 2].split_at_mut(1);
            let (Some(client), Some(node)) = (&mut first[0], &mut second[0]) else { continue };
            let (from, to) = if index == pair { (client, node) } else { (node, client) };
            let is_open =
                flush(from) && (!event.is_readable() || relay(from, to, &mut buffer, event.is_read_closed()));
            if !is_open {
                sides[pair..pair + 2].fill_with(|| None);
                free.push(pair);
            }
        }
    }
}

/// Writes pending bytes to a side; false once it is closed.
fn flush(side: &mut Side) -> bool {
    if side.pending.is_empty() {
        return true;
    }
    match side.stream.write(&side.pending) {
        Ok(n) => {
            side.pending.drain(..n);
            true
        }
        Err(e) => e.kind() == ErrorKind::WouldBlock,
    }
}

/// Relays what has been received; false once either side is closed.
fn relay(from: &mut Side, to: &mut Side, buffer: &mut [u8], is_read_closed: bool) -> bool {
    loop {
        let n = match from.stream.read(buffer) {
            Ok(0) => return false,
            Ok(n) => n,
            Err(e) => return e.kind() == ErrorKind::WouldBlock,
        };
        let result = if to.pending.is_empty() { to.stream.write(&buffer[..n]) } else { Ok(0) };
        match result {
            Ok(written) => to.pending.extend_from_slice(&buffer[written..n]),
            // The connection is not established yet, or its socket buffer is full.
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                to.pending.extend_from_slice(&buffer[..n]);
            }
            Err(_) => return false,
        }
        if n < buffer.len() && !is_read_closed {
            return true;
        }
    }
}
