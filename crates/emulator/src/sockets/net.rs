//! The table of everything the driver's one thread listens to: who stands behind a descriptor, and who is ready.
//!
//! `mio` and not `calloop`: the driver owns all its parts and hands them events one after the other, so callbacks
//! held by a loop would only have to find their way back to it.

use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd, OwnedFd};
use std::time::Duration;

use mio::event::Source;
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token};
use rustix::time::{
    Itimerspec, TimerfdClockId, TimerfdFlags, TimerfdTimerFlags, Timespec, timerfd_create, timerfd_settime,
};
use slotmap::{DefaultKey, Key, KeyData, SlotMap};
use socket2::{Domain, SockRef, Socket, Type};

use crate::edge::{BalancerId, ConnId, LinkId, NodeId};

/// Connections that wait to be accepted at a listener: a restart brings everybody at once.
const BACKLOG: i32 = 4096;
/// Events taken at once. What is left over is taken next time.
const EVENTS: usize = 1024;
/// What is read at once. A peer that sends more has to wait for its turn.
const READ: usize = 256 << 10;
/// Buffers that are kept for the next connection which needs one.
const SPARE_BUFFERS: usize = 1024;
/// A buffer larger than this is given back to the system.
const SPARE_SIZE: usize = 16 << 10;

/// Who stands behind a descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A client's connection to its balancer.
    Client(ConnId),
    /// A bad client's, by number.
    MisbehavingClient(u64),
    /// A balancer's connection to a node.
    Link(LinkId),
    /// A call at discovery, by number.
    Call(u64),
    /// The question whether a balancer is ready.
    Ping(BalancerId),
    /// A node listens to a balancer.
    NodeListener(BalancerId, NodeId),
    /// Discovery listens to a balancer, after so many moves.
    DiscoveryListener(BalancerId, u32),
    /// Datagrams for a balancer, of others.
    DatagramProxy(BalancerId),
    /// A balancer's process ends, in its life of this number.
    Exit(BalancerId, usize),
    /// A part of the load engine, by its own number.
    Load(u32),
    /// The driver's own timer.
    Timer,
}

/// A descriptor that has something for its owner.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// Whose it is.
    pub role: Role,
    /// It can be read (or has failed).
    pub read: bool,
    /// It can be written (or has failed).
    pub write: bool,
}

/// A listener at an address that it keeps while closed.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    key: DefaultKey,
}

/// Descriptors, their owners, and buffers shared by all connections.
#[derive(Debug)]
pub struct Net {
    poll: Poll,
    events: Events,
    roles: SlotMap<DefaultKey, Role>,
    /// Where everything is read into.
    pub(super) scratch: Vec<u8>,
    spare: Vec<Vec<u8>>,
    /// Owners with something left to read, though the system will not say so again.
    again: Vec<Role>,
    /// Descriptors, or memory for them, have run out at least once.
    short: bool,
    /// Ends a wait to the microsecond; the poll's own limit counts whole milliseconds.
    timer: OwnedFd,
}

impl Net {
    /// An empty table.
    ///
    /// # Errors
    ///
    /// Fails if the poll or the timer cannot be created.
    pub fn new() -> io::Result<Self> {
        let timer =
            timerfd_create(TimerfdClockId::Monotonic, TimerfdFlags::NONBLOCK | TimerfdFlags::CLOEXEC)?;
        let mut net = Net {
            poll: Poll::new()?,
            events: Events::with_capacity(EVENTS),
            roles: SlotMap::new(),
            scratch: vec![0; READ],
            spare: Vec::new(),
            again: Vec::new(),
            short: false,
            timer,
        };
        let fd = net.timer.as_raw_fd();
        net.register(&mut SourceFd(&fd), Interest::READABLE, Role::Timer)?;
        Ok(net)
    }

    pub(super) fn register(
        &mut self,
        source: &mut dyn Source,
        interest: Interest,
        role: Role,
    ) -> io::Result<DefaultKey> {
        let key = self.roles.insert(role);
        let token = Token(key.data().as_ffi() as usize);
        self.poll.registry().register(source, token, interest).inspect_err(|_| {
            self.roles.remove(key);
        })?;
        Ok(key)
    }

    pub(super) fn deregister(&mut self, source: &mut dyn Source, key: DefaultKey) {
        self.roles.remove(key);
        // The descriptor is closed next, which takes it out of the poll whatever is said here.
        let _ = self.poll.registry().deregister(source);
    }

    /// Listens at an address; port 0 leaves the port to the system. The address may be one where connections of
    /// an earlier listener still linger.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on or the socket not be registered.
    pub fn listen(&mut self, at: SocketAddr, role: Role) -> io::Result<Listener> {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        let mut listener = TcpListener::from_std(socket.into());
        let key = self.register(&mut listener, Interest::READABLE, role)?;
        Ok(Listener { listener, key })
    }

    /// Has what comes at a socket for datagrams told to its owner.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be registered.
    pub fn register_datagram_socket(&mut self, socket: &mut UdpSocket, role: Role) -> io::Result<()> {
        self.register(socket, Interest::READABLE, role).map(drop)
    }

    /// The next connection that waits at a listener, if one does.
    pub fn accept(&mut self, listener: &Listener) -> Option<TcpStream> {
        loop {
            match listener.listener.accept() {
                Ok((stream, _)) => return Some(stream),
                // The peer gave up while it waited; the next one may be fine.
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    self.short |= is_shortage(&e);
                    return None;
                }
            }
        }
    }

    /// Notes an error that shows that descriptors have run out.
    pub(super) fn note_shortage(&mut self, error: &io::Error) {
        self.short |= is_shortage(error);
    }

    /// Whether descriptors have run out at least once: what came then has been lost, and not by the balancers.
    pub fn ran_out_of_descriptors(&self) -> bool {
        self.short
    }

    /// Has the end of a process told to its owner.
    ///
    /// # Errors
    ///
    /// Fails if the descriptor cannot be registered.
    pub fn watch(&mut self, fd: &OwnedFd, role: Role) -> io::Result<DefaultKey> {
        self.register(&mut SourceFd(&fd.as_raw_fd()), Interest::READABLE, role)
    }

    /// Ends this.
    pub fn unwatch(&mut self, fd: BorrowedFd<'_>, key: DefaultKey) {
        self.deregister(&mut SourceFd(&fd.as_raw_fd()), key);
    }

    /// Stops to listen: connections that wait to be accepted are reset, new ones refused.
    pub fn close_listener(&mut self, mut listener: Listener) -> SocketAddr {
        let at = listener.address();
        self.deregister(&mut listener.listener, listener.key);
        at
    }

    /// An empty buffer.
    pub(super) fn take_buffer(&mut self) -> Vec<u8> {
        self.spare.pop().unwrap_or_default()
    }

    /// Takes back a buffer.
    pub(super) fn return_buffer(&mut self, mut buffer: Vec<u8>) {
        if (1..=SPARE_SIZE).contains(&buffer.capacity()) && self.spare.len() < SPARE_BUFFERS {
            buffer.clear();
            self.spare.push(buffer);
        }
    }

    /// Has an owner called again though its descriptor says nothing new.
    pub(super) fn requeue(&mut self, role: Role) {
        self.again.push(role);
    }

    /// Waits for at most so long, and says who is ready.
    ///
    /// # Errors
    ///
    /// Fails if the timer cannot be set or polling fails.
    pub fn wait(&mut self, most: Duration, ready: &mut Vec<Ready>) -> io::Result<()> {
        ready.clear();
        let most = if self.again.is_empty() { most } else { Duration::ZERO };
        if !most.is_zero() {
            let (tv_sec, tv_nsec) = (most.as_secs() as i64, most.subsec_nanos().into());
            let once = Itimerspec {
                it_interval: Timespec { tv_sec: 0, tv_nsec: 0 },
                it_value: Timespec { tv_sec, tv_nsec },
            };
            timerfd_settime(&self.timer, TimerfdTimerFlags::empty(), &once)?;
        }
        match self.poll.poll(&mut self.events, Some(most)) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            other => other?,
        }
        ready.extend(self.again.drain(..).map(|role| Ready { role, read: true, write: false }));
        for event in &self.events {
            let key = DefaultKey::from(KeyData::from_ffi(event.token().0 as u64));
            // A descriptor that was closed since the event came has no owner any more.
            let Some(role) = self.roles.get(key).copied().filter(|r| *r != Role::Timer) else { continue };
            let failed = event.is_error() || event.is_read_closed() || event.is_write_closed();
            ready.push(Ready {
                role,
                read: event.is_readable() || failed,
                write: event.is_writable() || failed,
            });
        }
        Ok(())
    }
}

impl Listener {
    /// Its address with the port.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("a bound listener has an address")
    }

    /// From now on connections neither come up nor fail, as at a machine that is cut off: the queue of those that
    /// wait is cut to one and filled, and the system drops what comes beyond. The filling is returned.
    ///
    /// # Errors
    ///
    /// Fails if a socket call does.
    pub fn stop_accepting(&self) -> io::Result<Vec<std::net::TcpStream>> {
        SockRef::from(&self.listener).listen(0)?;
        let mut filling = Vec::new();
        // One is enough where nobody else waits; with the second the queue is full for certain.
        for _ in 0..2 {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            socket.set_nonblocking(true)?;
            // It comes up or it hangs; either is what is wanted.
            let _ = socket.connect(&self.address().into());
            filling.push(socket.into());
        }
        Ok(filling)
    }

    /// Takes connections as before.
    ///
    /// # Errors
    ///
    /// Fails if a socket call does.
    pub fn resume_accepting(&self) -> io::Result<()> {
        SockRef::from(&self.listener).listen(BACKLOG)
    }
}

/// Whether an error means that this process, or the system, has no descriptor left.
fn is_shortage(e: &io::Error) -> bool {
    use rustix::io::Errno;
    [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM]
        .iter()
        .any(|n| e.raw_os_error() == Some(n.raw_os_error()))
}

/// Raises this process's own limit of descriptors as far as it may, and returns it: a day holds two for each
/// connection.
pub fn raise_descriptors() -> u64 {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let found = getrlimit(Resource::Nofile);
    let raised = Rlimit { current: found.maximum, maximum: found.maximum };
    match setrlimit(Resource::Nofile, raised) {
        Ok(()) => found.maximum.unwrap_or(u64::MAX),
        Err(_) => found.current.unwrap_or(u64::MAX),
    }
}
