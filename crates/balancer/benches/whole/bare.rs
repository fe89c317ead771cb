//! The limit to measure against: a single-threaded relay with no decisions at all. Each client gets a connection to
//! the next node in turn, and bytes are passed on as they come, unread.

use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};

struct Side {
    stream: TcpStream,
    /// Bytes for this side that it did not take yet.
    behind: Vec<u8>,
}

/// Serves until it is killed. Says where on its first line.
pub fn serve(listen: SocketAddr, nodes: &[SocketAddr]) -> io::Result<()> {
    let (mut poll, mut events) = (Poll::new()?, Events::with_capacity(1024));
    let mut listener = TcpListener::bind(listen)?;
    println!("{}", listener.local_addr()?);
    poll.registry().register(&mut listener, Token(usize::MAX), Interest::READABLE)?;
    // A client's side is at an even place and its node's behind it.
    let mut sides: Vec<Option<Side>> = Vec::new();
    let mut free: Vec<usize> = Vec::new();
    let mut bytes = vec![0; 16 << 10];
    let mut came = 0;
    loop {
        match poll.poll(&mut events, None) {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        for event in &events {
            let Token(at) = event.token();
            if at == usize::MAX {
                while let Ok((client, _)) = listener.accept() {
                    came += 1;
                    let pair = free.pop().unwrap_or_else(|| {
                        sides.extend([None, None]);
                        sides.len() - 2
                    });
                    let server = TcpStream::connect(nodes[came % nodes.len()])?;
                    for (side, mut stream) in [(pair, client), (pair + 1, server)] {
                        stream.set_nodelay(true)?;
                        let both = Interest::READABLE | Interest::WRITABLE;
                        poll.registry().register(&mut stream, Token(side), both)?;
                        sides[side] = Some(Side { stream, behind: Vec::new() });
                    }
                }
                continue;
            }
            let pair = at & !1;
            let (ours, theirs) = sides[pair..pair + 2].split_at_mut(1);
            let (Some(one), Some(other)) = (&mut ours[0], &mut theirs[0]) else { continue };
            let (this, that) = if at == pair { (one, other) } else { (other, one) };
            let lasts =
                flush(this) && (!event.is_readable() || pass(this, that, &mut bytes, event.is_read_closed()));
            if !lasts {
                sides[pair..pair + 2].fill_with(|| None);
                free.push(pair);
            }
        }
    }
}

fn flush(side: &mut Side) -> bool {
    if side.behind.is_empty() {
        return true;
    }
    match side.stream.write(&side.behind) {
        Ok(n) => {
            side.behind.drain(..n);
            true
        }
        Err(e) => e.kind() == ErrorKind::WouldBlock,
    }
}

/// Passes on what has come; false once either side is over.
fn pass(from: &mut Side, to: &mut Side, bytes: &mut [u8], closed: bool) -> bool {
    loop {
        let n = match from.stream.read(bytes) {
            Ok(0) => return false,
            Ok(n) => n,
            Err(e) => return e.kind() == ErrorKind::WouldBlock,
        };
        let put = if to.behind.is_empty() { to.stream.write(&bytes[..n]) } else { Ok(0) };
        match put {
            Ok(put) => to.behind.extend_from_slice(&bytes[put..n]),
            // Not connected yet, or full.
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                to.behind.extend_from_slice(&bytes[..n]);
            }
            Err(_) => return false,
        }
        if n < bytes.len() && !closed {
            return true;
        }
    }
}
