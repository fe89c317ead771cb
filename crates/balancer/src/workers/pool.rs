//! The workers of a process: loops on threads of their own, each an instance with a module, tables and a listener. What
//! they know of each other stands on a board; all else they tell each other in messages.
//!
//! The first one keeps the watch on discovery, runs the probes and hears the signals, for all. The system deals clients
//! out by chance, so a worker that holds many more than another hands new ones on; and a worker that stalls, or has
//! ended, has its listener served by its neighbour, so that new clients do not wait for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, Sender, channel};

use mio::Waker;
use mio::net::{TcpListener, TcpStream};
use shorewharf_decisions::interface::{Outcome, ServerId};
use shorewharf_units::Micros;
use tracing::{info, warn};

use crate::config::Config;
use crate::discovery::client::DiscoveryEvent;
use crate::handover::messages::Handed;
use crate::servers::disabled::AdminChange;

/// A worker that has not begun a turn for so long after it was to has stalled.
const STALLS: Micros = 1_000_000;
/// A worker hands clients on that holds more than the least loaded one by this part of what that one holds, or by this
/// many where that is more. Fewer are not worth a message.
const MORE_PART: usize = 8;
const MORE_LEAST: usize = 16;

/// What one worker tells another.
#[derive(Debug)]
pub enum Order {
    /// A client that has connected elsewhere.
    Client(TcpStream, SocketAddr),
    /// Discovery's news.
    DiscoveryEvent(DiscoveryEvent),
    /// A module wants the watch on discovery.
    Watch,
    /// The module of this worker wants a server checked on.
    Probe(usize, ServerId),
    /// What came of that.
    Probed(ServerId, Outcome),
    /// An operator has changed something.
    Changed(AdminChange),
    /// Another process of this balancer holds so many of this worker's descriptors.
    OthersHold(usize),
    /// That process takes this one's place, or no longer.
    Successor(bool),
    /// Another configuration is in force.
    Config(Box<Config>),
    /// The planned end begins.
    Stop,
    /// A standing connection that is to go on in another process.
    GoesAlong(Box<Handed>),
    /// One that has come from another process.
    Stands(Box<Handed>),
}

/// A worker, as the others see it.
#[derive(Debug)]
struct Post {
    orders: Sender<Order>,
    waker: Waker,
    /// Its listener, for its neighbour.
    listener: TcpListener,
    /// Clients that it holds.
    clients: AtomicUsize,
    /// Its next turn begins by then; 0 once it has ended.
    turns_by: AtomicU64,
}

/// A worker's place on the board, before it starts.
#[derive(Debug)]
pub struct Seat {
    post: Post,
    orders: Receiver<Order>,
}

impl Seat {
    /// The place of a worker that is woken like this, whose neighbour gets its listener.
    pub fn new(waker: Waker, listener: TcpListener) -> Self {
        let (sender, orders) = channel();
        let (clients, turns_by) = (AtomicUsize::new(0), AtomicU64::new(Micros::MAX));
        Seat { post: Post { orders: sender, waker, listener, clients, turns_by }, orders }
    }
}

/// One worker's view of the crew.
#[derive(Debug)]
pub struct Crew {
    me: usize,
    board: Arc<Vec<Post>>,
    orders: Receiver<Order>,
    /// It serves its neighbour's listener.
    helps: bool,
}

impl Crew {
    /// The crew of these seats, as each of them sees it.
    pub fn of(seats: Vec<Seat>) -> Vec<Crew> {
        let (posts, orders): (Vec<_>, Vec<_>) = seats.into_iter().map(|p| (p.post, p.orders)).unzip();
        let board = Arc::new(posts);
        let view = |(me, orders)| Crew { me, board: Arc::clone(&board), orders, helps: false };
        orders.into_iter().enumerate().map(view).collect()
    }

    /// Whether this is the one that keeps the watch and the probes for all.
    pub fn leads(&self) -> bool {
        self.me == 0
    }

    /// How many workers there are.
    pub fn len(&self) -> usize {
        self.board.len()
    }

    /// This worker's number.
    pub fn me(&self) -> usize {
        self.me
    }

    /// The next order for this worker.
    pub fn next(&self) -> Option<Order> {
        self.orders.try_recv().ok()
    }

    /// Tells another worker something; back comes what it can't be told because it has ended.
    pub fn tell(&self, who: usize, order: Order) -> Result<(), Order> {
        let post = &self.board[who];
        post.orders.send(order).map_err(|e| e.0)?;
        // Fails only where the system has no memory left; the next turn is a second away then.
        let _ = post.waker.wake();
        Ok(())
    }

    /// Tells all others something.
    pub fn tell_others(&self, order: impl Fn(usize) -> Order) {
        for who in (0..self.board.len()).filter(|who| *who != self.me) {
            // Who has ended needs nothing.
            let _ = self.tell(who, order(who));
        }
    }

    /// Who is to take a client that has come here, if not this worker: the least loaded one that keeps up.
    pub fn better(&self, now: Micros, held: usize) -> Option<usize> {
        let others = self.board.iter().enumerate().filter(|(who, _)| *who != self.me);
        let up = others.filter(|(_, post)| post.turns_by.load(Relaxed).saturating_add(STALLS) > now);
        let (least, who) = up.map(|(who, post)| (post.clients.load(Relaxed), who)).min()?;
        (held > least + (least / MORE_PART).max(MORE_LEAST)).then(|| {
            self.board[who].clients.fetch_add(1, Relaxed);
            who
        })
    }

    /// Whether all others have ended.
    pub fn is_alone(&self) -> bool {
        self.board.iter().enumerate().all(|(who, post)| who == self.me || post.turns_by.load(Relaxed) == 0)
    }

    /// This worker's turn has ended: it holds so many clients, and the next turn begins by then.
    pub fn turns(&self, held: usize, next: Micros) {
        self.board[self.me].clients.store(held, Relaxed);
        self.board[self.me].turns_by.store(next, Relaxed);
    }

    /// Looks after the neighbour: its listener, where this worker is to serve it from now on or no longer.
    pub fn looks_after(&mut self, now: Micros) -> Option<Help<'_>> {
        let neighbour = (self.me + 1) % self.board.len();
        let post = &self.board[neighbour];
        let by = post.turns_by.load(Relaxed);
        let stalls = by.saturating_add(STALLS) <= now;
        if std::mem::replace(&mut self.helps, stalls) == stalls {
            return None;
        }
        match (stalls, by) {
            (true, 0) => {}
            (true, by) => warn!(event = "worker-stalled", worker = neighbour, ms = (now - by) / 1000),
            (false, _) => info!(event = "worker-back", worker = neighbour),
        }
        Some(if stalls { Help::Begins(&post.listener) } else { Help::Ends(&post.listener) })
    }

    /// The neighbour's listener, while this worker serves it.
    pub fn helped(&self) -> Option<&TcpListener> {
        self.helps.then(|| &self.board[(self.me + 1) % self.board.len()].listener)
    }
}

/// This worker ends: nobody waits for it, and its neighbour serves its listener.
impl Drop for Crew {
    fn drop(&mut self) {
        self.board[self.me].turns_by.store(0, Relaxed);
    }
}

/// What is to be done with the neighbour's listener.
#[derive(Debug)]
pub enum Help<'a> {
    /// It is to be served from now on.
    Begins(&'a TcpListener),
    /// The neighbour serves it again.
    Ends(&'a TcpListener),
}

#[cfg(test)]
mod tests;
